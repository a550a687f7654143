//! A minimal HTTP server for the administration port and the stand-ins.

use std::future::Future;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use super::caller::CallerConnection;
use super::limits::Limits;
use super::received_call::ReceivedCall;
use super::tasks::Tasks;
use super::Result;
use crate::prelude::*;

/// Binds a listener; port 0 picks a free port.
///
/// Disables port reuse, which the runtime enables by default: several processes could then listen
/// on the same port, and a caller would reach any of them.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
        .map_err(|source| Error::Bind { address, source })
}

/// Serves each connection in its own task; dropping the future stops all of them.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let tasks = Tasks::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tasks.spawn(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Call) -> F,
    F: Future<Output = Answer>,
{
    let mut connection = CallerConnection::new(stream, Limits::for_responses());
    while let Ok(ReceivedCall { call, receipt }) = connection.next_call().await {
        let response = monoio::select! {
            response = handler(call) => response,
            // The client closed the connection, so the response is no longer needed.
            () = connection.closed() => return,
        };
        if connection.write_response(response, receipt).await.is_err() {
            return;
        }
    }
}
