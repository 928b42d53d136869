//! What is known of workers beside the live list. An inventory that some tool keeps says of a host in which zone and pod it
//! stands, of which kind it is, what it can bear; here that is judged ([`judge`]), kept in versions ([`Shelf`]), laid beside
//! the live list ([`Sheet`]) and compared with it ([`reconcile`]). Nothing here reads or writes: files come as what their
//! readers made of them ([`Raw`]), the time comes as a number.
//!
//! Three things hold throughout:
//!
//! - **Nothing is guessed.** What two lines of a file say differently is unknown ([`Said::Disputed`]), and both are named.
//! - **Every refusal names its place** and what was done instead ([`Refusal`]).
//! - **A file adds facts to hosts; it never makes one.** Only the live list does that.
mod judge;
mod name;
mod place;
mod reconcile;
mod row;
mod schema;
mod sheet;
mod version;

pub use judge::{Item, Judged, Rank, Raw, RawFile, Value, judge};
pub use name::{BadName, normal};
pub use place::{Done, Place, Refusal};
pub use reconcile::{Counts, Finding, Known, LiveHost, Report, What, provenance, reconcile};
pub use row::{Fact, Labels, Row, Said};
pub use schema::{Schema, Vocabulary, document};
pub use sheet::{Defaults, Found, Sheet, Source};
pub use version::{Change, Held, Limits, Shelf, Turned, Verdict, Version, diff, differing};
