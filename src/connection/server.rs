//! A small HTTP server for the parts around the call path: metrics and stand-ins.

use std::future::Future;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use super::caller::CallerConnection;
use super::limits::Limits;
use super::tasks::Tasks;
use super::Result;
use crate::prelude::*;

/// Binds a listener; port 0 picks a free port.
///
/// A port has one listener. The runtime's default lets several processes share one, and callers
/// would reach either of them.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
        .map_err(|source| Error::Bind { address, source })
}

/// Serves connections, one task for each; dropping the future stops all of them.
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
    while let Ok(call) = connection.next().await {
        let answer = monoio::select! {
            answer = handler(call) => answer,
            // The client has left, so nobody waits for the handler any more.
            () = connection.closed() => return,
        };
        if connection.answer(answer).await.is_err() {
            return;
        }
    }
}
