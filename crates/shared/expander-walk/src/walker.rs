//! The state of one random walk.

use crate::vertex::VertexIndex;

/// The state of one random walk: its position and the position before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Walker {
    /// The server at which the walk is.
    pub current: VertexIndex,
    /// The server of the step before; `None` before the first step.
    pub previous: Option<VertexIndex>,
}

impl Walker {
    /// Creates a walk that starts at a server.
    #[must_use]
    pub fn new(start: VertexIndex) -> Self {
        Walker { current: start, previous: None }
    }

    /// Returns the walk after a step to the server `next`.
    #[must_use]
    pub fn moved_to(self, next: VertexIndex) -> Self {
        Walker { current: next, previous: Some(self.current) }
    }
}
