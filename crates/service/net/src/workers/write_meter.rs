//! Counts the bytes that have left for the other side. Only a request whose last byte was never
//! written is proved not to have run; what hyper took into its buffers proves nothing.
use crate::lock::lock;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The blank line that ends a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";
const HEAD_END_BYTES: u64 = HEAD_END.len() as u64;

/// What is done when a request's last byte has been written.
pub(super) type OnWritten = Box<dyn FnOnce() + Send>;

/// How much of the present request has been written.
#[derive(Default)]
pub(super) struct WriteMeter {
    /// Bytes of the body that are still to be written.
    body_left: AtomicU64,
    /// How much of [`HEAD_END`] has been written; all of it when the head is complete.
    head_end_matched: AtomicU64,
    /// Called once, when the request's last byte has been written.
    on_written: Mutex<Option<OnWritten>>,
}

impl WriteMeter {
    /// A request with a body of so many bytes begins.
    pub(super) fn begin(&self, body_bytes: u64) {
        self.body_left.store(body_bytes, Ordering::Relaxed);
        self.head_end_matched.store(0, Ordering::Relaxed);
    }

    /// Sets what is called when the next request's last byte has been written.
    pub(super) fn set_on_written(&self, on_written: Option<OnWritten>) {
        *lock(&self.on_written) = on_written;
    }

    /// Takes it back if it was not called.
    pub(super) fn take_on_written(&self) -> Option<OnWritten> {
        lock(&self.on_written).take()
    }

    /// Counts bytes that were written.
    pub(super) fn wrote(&self, bytes: &[u8]) {
        let mut matched = self.head_end_matched.load(Ordering::Relaxed);
        let mut rest = bytes;
        while matched < HEAD_END_BYTES {
            let Some((&byte, tail)) = rest.split_first() else { break };
            matched = match byte {
                next if next == HEAD_END[matched as usize] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            rest = tail;
        }
        self.head_end_matched.store(matched, Ordering::Relaxed);
        let body_left = self.body_left.load(Ordering::Relaxed);
        self.body_left.store(body_left.saturating_sub(rest.len() as u64), Ordering::Relaxed);
        if self.is_complete()
            && let Some(on_written) = self.take_on_written()
        {
            on_written();
        }
    }

    /// Whether the request's last byte has been written.
    pub(super) fn is_complete(&self) -> bool {
        let head_is_complete = self.head_end_matched.load(Ordering::Relaxed) == HEAD_END_BYTES;
        head_is_complete && self.body_left.load(Ordering::Relaxed) == 0
    }
}
