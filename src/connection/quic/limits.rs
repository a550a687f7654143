//! QUIC transport parameters for connections between entries.

use std::sync::Arc;

use quinn_proto::{AckFrequencyConfig, EndpointConfig, IdleTimeout, TransportConfig, VarInt};

use crate::prelude::*;

/// Time without a packet after which a connection is considered lost.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time without a packet after which the dialling side sends a ping.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Most requests that each side may have open on a connection.
pub const MAX_OPEN_REQUESTS: u32 = 8;
/// Flow-control window of a stream: bytes that a peer may send before they are read.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of a connection, for all of its streams together.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;
/// Size of the datagram buffers, which hold load reports; the oldest are dropped first.
const DATAGRAM_BUFFER_BYTES: usize = 16 * 1024;
/// Packets that a peer may receive without sending an acknowledgement.
const ACK_THRESHOLD_PACKETS: u32 = 16;
/// Longest delay of an acknowledgement; most can then be sent along with other data.
const MAX_ACK_DELAY: Duration = Duration::from_millis(200);

/// Parameters of a connection; only the dialling side sends keep-alive pings.
pub fn transport_config(is_dialler: bool) -> Arc<TransportConfig> {
    let mut acks = AckFrequencyConfig::default();
    acks.ack_eliciting_threshold(VarInt::from_u32(ACK_THRESHOLD_PACKETS));
    acks.max_ack_delay(Some(MAX_ACK_DELAY));
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).expect("the timeout fits a variable integer");
    let mut config = TransportConfig::default();
    config
        .ack_frequency_config(Some(acks))
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES)
        .enable_segmentation_offload(false)
        .keep_alive_interval(is_dialler.then_some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_OPEN_REQUESTS))
        .max_concurrent_uni_streams(VarInt::from_u32(1))
        .max_idle_timeout(Some(idle))
        .mtu_discovery_config(None)
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(u64::from(CONNECTION_WINDOW_BYTES))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    Arc::new(config)
}

/// Parameters of an endpoint.
pub fn endpoint_config() -> Arc<EndpointConfig> {
    Arc::new(EndpointConfig::default())
}
