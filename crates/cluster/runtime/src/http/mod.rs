//! HTTP/1.1 round `async-h1` and `tide`: connections that are read message by message.
//!
//! `async-h1` decodes a message from a stream of its own buffer and drops what it has read beyond the message. So messages
//! are cut out of the connection's bytes here ([`framing`]), with bounds on each, and what follows one stays for the next:
//! requests sent in one go are each answered, in order, and an answer can't be taken for another call's.
pub mod client;
pub mod framing;
pub mod server;
