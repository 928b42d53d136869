//! HTTP/1.1 client and server around `async-h1` and `tide`, with their own message framing.
//!
//! `async-h1` decodes a message from a stream through a buffer of its own and drops the bytes that
//! it has read beyond the message. Therefore [`framing`] splits the bytes of a connection into
//! messages, each within limits, and keeps the bytes after a message for the next one: pipelined
//! requests are all answered, in order, and a response can't be attributed to another call.
pub mod client;
pub mod framing;
pub mod server;
