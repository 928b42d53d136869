//! HTTP/1.1 around `async-h1` and `tide`: connections that are read message by message.
//!
//! `async-h1` decodes a message from a stream with a buffer of its own and drops what it has read
//! beyond the message. So messages are cut out of the connection's bytes here ([`framing`]), each
//! within limits, and what follows one stays for the next: pipelined requests are each answered, in
//! order, and a response can't be taken for that of another call.
pub mod client;
pub mod framing;
pub mod server;
