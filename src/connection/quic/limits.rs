//! Transport parameters of connections between entries.

use std::sync::Arc;

use quinn_proto::{AckFrequencyConfig, EndpointConfig, IdleTimeout, TransportConfig, VarInt};

use crate::prelude::*;

/// Time without a packet after which a connection counts as lost.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time without a packet after which the dialling side sends a ping.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Most requests that one side has open on a connection.
pub const MAX_REQUESTS: u32 = 8;
/// Bytes that a peer may send ahead of the reader on one stream.
const STREAM_WINDOW: u32 = 256 * 1024;
/// Bytes that a peer may send ahead of the reader on all streams.
const CONNECTION_WINDOW: u32 = 1024 * 1024;
/// Bytes of load hints that wait in the transport; older ones are dropped first.
const DATAGRAM_BUFFER: usize = 16 * 1024;
/// Packets that a peer may leave without an acknowledgement.
const ACK_THRESHOLD: u32 = 16;
/// Longest delay of an acknowledgement; acknowledgements then mostly ride on other packets.
const ACK_DELAY: Duration = Duration::from_millis(200);

/// The parameters; only the dialling side sends keep-alive pings.
pub fn transport(is_dialler: bool) -> Arc<TransportConfig> {
    let mut acks = AckFrequencyConfig::default();
    acks.ack_eliciting_threshold(VarInt::from_u32(ACK_THRESHOLD));
    acks.max_ack_delay(Some(ACK_DELAY));
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).expect("the timeout fits a variable integer");
    let mut config = TransportConfig::default();
    config
        .ack_frequency_config(Some(acks))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .datagram_send_buffer_size(DATAGRAM_BUFFER)
        .enable_segmentation_offload(false)
        .keep_alive_interval(is_dialler.then_some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_REQUESTS))
        .max_concurrent_uni_streams(VarInt::from_u32(1))
        .max_idle_timeout(Some(idle))
        .mtu_discovery_config(None)
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .send_window(u64::from(CONNECTION_WINDOW))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW));
    Arc::new(config)
}

/// The parameters of an endpoint.
pub fn endpoint() -> Arc<EndpointConfig> {
    Arc::new(EndpointConfig::default())
}
