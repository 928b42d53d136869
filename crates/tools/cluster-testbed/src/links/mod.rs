//! Links between the processes of a soak, which can be cut, cut in one direction, or delayed.
//!
//! Each machine of the control plane is reached through a forwarder at its address, while its
//! process listens elsewhere ([`Forwarder`]). The forwarder finds out which machine has opened a
//! connection ([`ProcessIds`]), and holds back or delays the bytes of each direction as the
//! present faults ([`LinkFaults`]) say. Bytes that are held back are lost if their sender closes
//! the connection meanwhile.
mod connection_owner;
mod forwarder;
mod link_faults;

pub use connection_owner::ProcessIds;
pub use forwarder::Forwarder;
pub use link_faults::{CutDirection, LinkFault, LinkFaultKind, LinkFaults};
