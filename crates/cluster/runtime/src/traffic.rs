//! Counters of the frames and bytes sent to other processes of the system, by kind of frame.
//!
//! Frames are counted when they are encoded for a connection's queue or for a write, so frames that
//! are dropped or lost afterwards are counted too. The counters are global to the process, like a
//! metrics registry.
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

/// Number and size of the frames of one kind that were sent since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentFrames {
    /// Number of frames.
    pub frames: u64,
    /// Bytes on the wire, including the length prefixes.
    pub bytes: u64,
}

/// Encodes a frame with its length prefix and counts it as sent.
#[must_use]
pub fn encode_counted(frame: &Frame) -> Vec<u8> {
    let bytes = encode(frame);
    let counter = &SENT[frame.kind() as usize];
    counter.frames.fetch_add(1, Ordering::Relaxed);
    counter.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    bytes
}

/// Returns the counters of a kind of frame.
#[must_use]
pub fn sent(kind: FrameKind) -> SentFrames {
    let counter = &SENT[kind as usize];
    SentFrames {
        frames: counter.frames.load(Ordering::Relaxed),
        bytes: counter.bytes.load(Ordering::Relaxed),
    }
}

/// Renders the counters as metrics, one `name{kind="..."} number` per line.
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
