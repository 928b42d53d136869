//! One random walk.

use crate::vertex::VertexIndex;

/// One random walk: where it is and where it came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Walker {
    /// The server that it is on.
    pub current: VertexIndex,
    /// The server that it just left; `None` at its start.
    pub previous: Option<VertexIndex>,
}

impl Walker {
    /// A walk that starts at a server.
    #[must_use]
    pub fn new(start: VertexIndex) -> Self {
        Walker { current: start, previous: None }
    }

    /// The walk after a step to a server.
    #[must_use]
    pub fn moved_to(self, next: VertexIndex) -> Self {
        Walker { current: next, previous: Some(self.current) }
    }
}
