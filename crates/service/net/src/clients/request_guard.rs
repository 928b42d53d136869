//! A request in progress: from its head to its answer its connection is busy.
use super::listener::ClientListener;
use crate::client_connection::HeadScanner;
use crate::client_connection::{ClientConnection, ConnectionStage, ReadProgress};
use crate::lock::lock;
use crate::wire::{MAX_BODY, RequestError};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use tokio::time::{Instant, timeout_at};

/// The connection is busy while this lives.
pub(super) struct RequestGuard<'a> {
    listener: &'a ClientListener,
    pub connection: &'a Arc<ClientConnection>,
    /// When the request began to arrive.
    since: Instant,
    pub head: HeadScanner,
}

impl<'a> RequestGuard<'a> {
    pub(super) fn new(listener: &'a ClientListener, connection: &'a Arc<ClientConnection>) -> Self {
        let since = match std::mem::replace(&mut *lock(&connection.stage), ConnectionStage::Busy) {
            ConnectionStage::Reading(progress) => progress.since,
            // Its head came together with the end of the request before.
            _ => Instant::now(),
        };
        let head = std::mem::take(&mut *lock(&connection.head));
        RequestGuard { listener, connection, since, head }
    }

    /// Reads the body, as long as bytes go on arriving.
    pub(super) async fn read_body(&self, mut body: Incoming) -> Result<Bytes, RequestError> {
        if body.size_hint().lower() > MAX_BODY as u64 {
            return Err(RequestError::BodyTooLarge);
        }
        let (mut whole, mut last) = (BytesMut::new(), Instant::now());
        loop {
            let deadline = ReadProgress { since: self.since, last }.deadline();
            match timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    last = Instant::now();
                    whole.extend_from_slice(&frame.into_data().unwrap_or_default());
                    if whole.len() > MAX_BODY {
                        return Err(RequestError::BodyTooLarge);
                    }
                }
                Ok(None) => return Ok(whole.freeze()),
                Ok(Some(Err(_))) => return Err(RequestError::BodyBroken),
                Err(_) => return Err(RequestError::BodyTimeout),
            }
        }
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        *lock(&self.connection.stage) = ConnectionStage::Idle(Instant::now());
        self.listener.connection_idle();
    }
}
