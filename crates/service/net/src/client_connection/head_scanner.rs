//! Watches a request's head for a `Content-Length`: hyper hides one that stands beside a
//! `Transfer-Encoding`, by which another server would find a second request in the body (request
//! smuggling).

/// Bytes of a header's name that are kept; enough for `content-length`.
const MAX_NAME_BYTES: usize = 16;

/// A head as it arrives.
#[derive(Default)]
pub(crate) struct HeadScanner {
    /// The name that the present line begins with, as far as it matters.
    name: Vec<u8>,
    in_value: bool,
    begun: bool,
    /// The head has arrived whole.
    pub is_complete: bool,
    /// It has a `Content-Length`.
    pub has_content_length: bool,
}

impl HeadScanner {
    /// Takes the next bytes; those after the head are ignored.
    pub(crate) fn scan(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            match byte {
                _ if self.is_complete => return,
                b'\n' => self.end_line(),
                b'\r' => {}
                b':' => {
                    let is_length = !self.in_value && self.name.eq_ignore_ascii_case(b"content-length");
                    self.has_content_length |= is_length;
                    self.in_value = true;
                }
                _ if !self.in_value && self.name.len() < MAX_NAME_BYTES => self.name.push(byte),
                _ => {}
            }
        }
    }

    fn end_line(&mut self) {
        let is_blank = self.name.is_empty() && !self.in_value;
        self.is_complete = is_blank && self.begun;
        self.begun |= !is_blank;
        self.name.clear();
        self.in_value = false;
    }
}
