//! Counts what is sent to other processes of the system, by kind of frame.
//!
//! Frames are counted where they are queued for a connection. The counters belong to the process,
//! as a registry of metrics usually does.
use crate::frame::{Frame, FrameKind};
use crate::frame_codec::encode;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Debug)]
struct Counter {
    frames: AtomicU64,
    bytes: AtomicU64,
}

static SENT: [Counter; FrameKind::ALL.len()] =
    [const { Counter { frames: AtomicU64::new(0), bytes: AtomicU64::new(0) } }; FrameKind::ALL.len()];

/// What was sent of one kind since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentFrames {
    /// Frames.
    pub frames: u64,
    /// Their bytes on the wire, lengths included.
    pub bytes: u64,
}

/// The bytes of a frame with its length, counted as sent.
#[must_use]
pub fn encode_counted(frame: &Frame) -> Vec<u8> {
    let bytes = encode(frame);
    let counter = &SENT[frame.kind() as usize];
    counter.frames.fetch_add(1, Ordering::Relaxed);
    counter.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    bytes
}

/// What was sent of a kind so far.
#[must_use]
pub fn sent(kind: FrameKind) -> SentFrames {
    let counter = &SENT[kind as usize];
    SentFrames {
        frames: counter.frames.load(Ordering::Relaxed),
        bytes: counter.bytes.load(Ordering::Relaxed),
    }
}

/// The counters as metrics, one `name{kind="..."} number` a line.
#[must_use]
pub fn metrics_text() -> String {
    let mut text = String::new();
    for kind in FrameKind::ALL {
        let SentFrames { frames, bytes } = sent(kind);
        let name = kind.name();
        let _ = writeln!(text, "spanlead_sent_frames{{kind=\"{name}\"}} {frames}");
        let _ = writeln!(text, "spanlead_sent_bytes{{kind=\"{name}\"}} {bytes}");
    }
    text
}
