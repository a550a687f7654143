//! A small HTTP server for the parts around the call path: metrics and stand-ins.

use std::future::Future;

use monoio::net::TcpListener;

use super::caller::CallerConnection;
use super::limits::Limits;
use super::Result;
use crate::prelude::*;

/// Binds a listener; port 0 picks a free port.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).map_err(|source| Error::Bind { address, source })
}

/// Serves connections until the task is dropped, one task for each connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let handler = handler.clone();
        monoio::spawn(async move {
            let mut connection = CallerConnection::new(stream, Limits::for_answers());
            while let Ok(call) = connection.next().await {
                let answer = handler(call).await;
                if connection.answer(answer).await.is_err() {
                    return;
                }
            }
        });
    }
}
