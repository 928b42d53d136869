//! The messages on the link between two processes: number (8 bytes), kind (1 byte), length (4
//! bytes), all big-endian, then the body. Processes of two versions use the link at the same time:
//! neither numbers nor layout may change.
use crate::wire::MAX_BODY;
use bytes::{Buf, Bytes};
use spanlead_engine::NoticeReply;
use std::io;

/// The longest body of a frame, bytes: a request with a long head and body, and its snapshot.
pub(super) const MAX_FRAME_BYTES: usize = 4 * MAX_BODY;
/// The length of what comes before the body, bytes.
pub(super) const FRAME_HEAD_BYTES: usize = 8 + 1 + 4;

const KIND_ACKNOWLEDGED: u8 = 0;
const KIND_NOTICE: u8 = 1;
const KIND_REQUEST: u8 = 2;
const KIND_FENCED: u8 = 3;

/// A message on the link.
pub(super) enum Frame {
    /// What came under this frame's number has been taken; the reply is its worker's.
    Reply(NoticeReply),
    /// A worker's notice.
    Notice(Bytes),
    /// An open request: its snapshot as a line of JSON, then the request as HTTP. Its client's
    /// socket comes beside it.
    Request(Bytes),
}

/// What comes before the body of a frame.
pub(super) struct FrameHead {
    pub number: u64,
    kind: u8,
    pub body_bytes: usize,
}

impl FrameHead {
    /// Decodes a head.
    ///
    /// # Errors
    /// If the body is longer than allowed.
    pub(super) fn decode(mut head: impl Buf) -> io::Result<Self> {
        let (number, kind, body_bytes) = (head.get_u64(), head.get_u8(), head.get_u32() as usize);
        if body_bytes > MAX_FRAME_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(FrameHead { number, kind, body_bytes })
    }
}

impl Frame {
    /// Encodes a frame.
    pub(super) fn encode(&self, number: u64) -> Vec<u8> {
        let lease: [u8; 8];
        let (kind, body): (u8, &[u8]) = match self {
            Frame::Reply(NoticeReply::Acknowledged { lease: None }) => (KIND_ACKNOWLEDGED, &[]),
            Frame::Reply(NoticeReply::Acknowledged { lease: Some(span) }) => {
                lease = span.to_be_bytes();
                (KIND_ACKNOWLEDGED, &lease)
            }
            Frame::Reply(NoticeReply::Fenced) => (KIND_FENCED, &[]),
            Frame::Notice(body) => (KIND_NOTICE, body),
            Frame::Request(body) => (KIND_REQUEST, body),
        };
        [&number.to_be_bytes()[..], &[kind], &(body.len() as u32).to_be_bytes(), body].concat()
    }

    /// Decodes a frame's body.
    ///
    /// # Errors
    /// If the kind is unknown.
    pub(super) fn decode(head: &FrameHead, body: Bytes) -> io::Result<Self> {
        match head.kind {
            KIND_ACKNOWLEDGED => {
                let lease = (body.len() == 8).then(|| (&body[..]).get_u64());
                Ok(Frame::Reply(NoticeReply::Acknowledged { lease }))
            }
            KIND_FENCED => Ok(Frame::Reply(NoticeReply::Fenced)),
            KIND_NOTICE => Ok(Frame::Notice(body)),
            KIND_REQUEST => Ok(Frame::Request(body)),
            _ => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}
