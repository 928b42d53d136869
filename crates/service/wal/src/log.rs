//! Segments and frames: reading a folder back, and writing at its end.
use crate::folder::{Folder, Sink};
use rand::Rng;
use std::io;

const MAGIC: &[u8; 8] = b"spanledg";
/// The version of the form on disk.
pub(crate) const VERSION: u32 = 1;
/// Magic, version, first record's number, salt, checksum.
const HEAD: usize = 8 + 4 + 8 + 8 + 4;
/// Length, count, first record's number, checksum.
const FRAME: usize = 4 + 4 + 8 + 4;
/// The most that one frame holds: far more than a group commit gathers.
pub(crate) const MAX_FRAME: usize = 64 << 20;

/// How a log is kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A segment that has grown to this many bytes is closed and the next begun.
    pub segment: u64,
    /// Whether to wait for the disk.
    pub sync: bool,
}

/// Why a log can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The system's word.
    #[error("{file}: {error}")]
    Io {
        /// The file, or `.` for the folder.
        file: String,
        /// What the system said.
        error: io::Error,
    },
    /// What is there is not what was written.
    #[error("{file}: damaged at byte {offset}: {why}")]
    Damaged {
        /// The file.
        file: String,
        /// Where the damage begins, or the frame that holds it.
        offset: u64,
        /// What is wrong there.
        why: String,
    },
    /// Written by another version of this program.
    #[error("{file}: version {version} of the form; this program reads version {VERSION}")]
    Version {
        /// The file.
        file: String,
        /// Its version.
        version: u32,
    },
}

/// A segment as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its file's name.
    pub name: String,
    /// The number of its first record.
    pub first: u64,
    /// Its size, bytes.
    pub bytes: u64,
    /// Whether its process ended it in order.
    pub closed: bool,
}

/// What opening a log found.
#[derive(Debug, Default)]
pub struct Opened {
    /// Records that were read.
    pub records: u64,
    /// Bytes that were read.
    pub bytes: u64,
    /// What was cut at the end: file, offset and bytes.
    pub torn: Option<(String, u64, u64)>,
}

/// Reads a folder back without changing it.
pub struct Reader<'a> {
    folder: &'a dyn Folder,
}

struct Parsed {
    /// Where the last good frame ends.
    good: usize,
    /// The number that the next record would have.
    next: u64,
    closed: bool,
    torn: Option<String>,
}

impl<'a> Reader<'a> {
    /// A reader of this folder.
    pub fn new(folder: &'a dyn Folder) -> Self {
        Reader { folder }
    }

    fn names(&self) -> Result<Vec<(u64, String)>, OpenError> {
        let names = self.folder.list().map_err(|error| OpenError::Io { file: ".".into(), error })?;
        let number = |name: String| Some((name.strip_suffix(".log")?.parse().ok()?, name));
        let mut names: Vec<(u64, String)> = names.into_iter().filter_map(number).collect();
        names.sort();
        Ok(names)
    }

    /// Reads all records in their order, each with its number, and returns the segments and what was torn at the end.
    ///
    /// # Errors
    /// If a file can't be read, is damaged elsewhere than at its end, or if `each` turns a record down.
    pub fn read(
        &self,
        mut each: impl FnMut(u64, &[u8]) -> Result<(), String>,
    ) -> Result<(Vec<Segment>, Opened), OpenError> {
        let (mut segments, mut opened) = (Vec::new(), Opened::default());
        let names = self.names()?;
        let mut next = None;
        for (i, (first, name)) in names.iter().enumerate() {
            let last = i + 1 == names.len();
            let bytes =
                self.folder.read(name).map_err(|error| OpenError::Io { file: name.clone(), error })?;
            let damaged = |offset: usize, why: String| OpenError::Damaged {
                file: name.clone(),
                offset: offset as u64,
                why,
            };
            if next.is_some_and(|next| next != *first) {
                let why = format!("it begins with record {first}, and {} should come", next.unwrap_or(0));
                return Err(damaged(0, why));
            }
            if last && bytes.len() <= HEAD && !whole_head(&bytes) {
                // The machine stopped while the file was made. Its head is synced before anything follows it, so nothing
                // was ever in it.
                opened.torn = Some((name.clone(), 0, bytes.len() as u64));
                break;
            }
            let parsed = parse(name, *first, &bytes, last, &mut each)?;
            if let Some(why) = &parsed.torn {
                if !last {
                    return Err(damaged(parsed.good, why.clone()));
                }
                opened.torn = Some((name.clone(), parsed.good as u64, (bytes.len() - parsed.good) as u64));
            }
            opened.records += parsed.next - first;
            opened.bytes += parsed.good as u64;
            next = Some(parsed.next);
            let (name, closed) = (name.clone(), parsed.closed);
            segments.push(Segment { name, first: *first, bytes: parsed.good as u64, closed });
        }
        Ok((segments, opened))
    }
}

fn parse(
    name: &str,
    first: u64,
    bytes: &[u8],
    last: bool,
    each: &mut impl FnMut(u64, &[u8]) -> Result<(), String>,
) -> Result<Parsed, OpenError> {
    let damaged = |offset: usize, why: &str| OpenError::Damaged {
        file: name.to_owned(),
        offset: offset as u64,
        why: why.to_owned(),
    };
    if bytes.len() < HEAD {
        return Err(damaged(bytes.len(), "the file ends within its head"));
    }
    if &bytes[..8] != MAGIC {
        return Err(damaged(0, "it does not begin as a segment does"));
    }
    if !whole_head(bytes) {
        return Err(damaged(8, "the head's checksum does not match"));
    }
    let version = u32::from_le_bytes(array(&bytes[8..12]));
    if version != VERSION {
        return Err(OpenError::Version { file: name.to_owned(), version });
    }
    if u64::from_le_bytes(array(&bytes[12..20])) != first {
        return Err(damaged(12, "its name is not that of its first record"));
    }
    let salt = u64::from_le_bytes(array(&bytes[20..28]));
    let mut parsed = Parsed { good: HEAD, next: first, closed: false, torn: None };
    while parsed.good < bytes.len() {
        let at = parsed.good;
        match frame(&bytes[at..], salt, parsed.next) {
            Ok((count, payload)) => {
                let mut rest = payload;
                for i in 0..u64::from(count) {
                    let (record, tail) = split(rest).ok_or_else(|| damaged(at, "a record's length"))?;
                    each(parsed.next + i, record).map_err(|why| damaged(at, &why))?;
                    rest = tail;
                }
                parsed.good += FRAME + payload.len();
                parsed.next += u64::from(count);
                parsed.closed = count == 0;
            }
            Err(why) => {
                // Frames are synced one by one: with a later one that can be read, this one was whole once.
                if !last || later(&bytes[at + 1..], salt, parsed.next) {
                    return Err(damaged(at, why));
                }
                (parsed.torn, parsed.closed) = (Some(why.to_owned()), false);
                break;
            }
        }
    }
    Ok(parsed)
}

fn whole_head(bytes: &[u8]) -> bool {
    bytes.len() >= HEAD && crc32fast::hash(&bytes[..HEAD - 4]).to_le_bytes() == bytes[HEAD - 4..HEAD]
}

fn array<const N: usize>(bytes: &[u8]) -> [u8; N] {
    std::array::from_fn(|i| bytes[i])
}

fn split(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, rest) = bytes.split_at_checked(4)?;
    rest.split_at_checked(u32::from_le_bytes(array(length)) as usize)
}

fn checksum(salt: u64, head: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    // The salt is the segment's own: no text of a client's, and no frame of another file, passes for one.
    hasher.update(&salt.to_le_bytes());
    hasher.update(head);
    hasher.update(payload);
    hasher.finalize()
}

/// The frame at the start of these bytes: how many records it has, and the records.
fn frame(bytes: &[u8], salt: u64, next: u64) -> Result<(u32, &[u8]), &'static str> {
    let (head, rest) = bytes.split_at_checked(FRAME).ok_or("a frame's head is cut short")?;
    let length = u32::from_le_bytes(array(&head[..4])) as usize;
    let count = u32::from_le_bytes(array(&head[4..8]));
    if length > MAX_FRAME || u64::from_le_bytes(array(&head[8..16])) != next {
        return Err("a frame's head is not what should come");
    }
    let payload = rest.get(..length).ok_or("a frame is cut short")?;
    if checksum(salt, &head[..16], payload).to_le_bytes() != head[16..20] {
        return Err("a frame's checksum does not match");
    }
    Ok((count, payload))
}

/// Whether any whole frame of a later record lies in these bytes.
fn later(bytes: &[u8], salt: u64, next: u64) -> bool {
    (0..bytes.len().saturating_sub(FRAME - 1)).any(|at| {
        let number = u64::from_le_bytes(array(&bytes[at + 8..at + 16]));
        // A closing frame has the number of the records before it, and holds none.
        (next..next.saturating_add(1 << 32)).contains(&number) && frame(&bytes[at..], salt, number).is_ok()
    })
}

/// Appends a frame's bytes.
pub(crate) fn put_frame<R: AsRef<[u8]>>(out: &mut Vec<u8>, salt: u64, first: u64, records: &[R]) {
    let start = out.len();
    out.extend_from_slice(&[0; FRAME]);
    for record in records {
        let record = record.as_ref();
        out.extend_from_slice(&(record.len() as u32).to_le_bytes());
        out.extend_from_slice(record);
    }
    let length = (out.len() - start - FRAME) as u32;
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
    out[start + 4..start + 8].copy_from_slice(&(records.len() as u32).to_le_bytes());
    out[start + 8..start + 16].copy_from_slice(&first.to_le_bytes());
    let (head, payload) = out[start..].split_at(FRAME);
    let crc = checksum(salt, &head[..16], payload);
    out[start + 16..start + 20].copy_from_slice(&crc.to_le_bytes());
}

fn head(first: u64, salt: u64) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend_from_slice(&VERSION.to_le_bytes());
    head.extend_from_slice(&first.to_le_bytes());
    head.extend_from_slice(&salt.to_le_bytes());
    let crc = crc32fast::hash(&head);
    head.extend_from_slice(&crc.to_le_bytes());
    head
}

/// A file's name.
pub(crate) fn name(first: u64) -> String {
    format!("{first:020}.log")
}

/// A log that is written to. One at a time may exist for a folder.
pub struct Log {
    folder: Box<dyn Folder>,
    options: Options,
    /// The closed segments, oldest first: first record's number, size.
    sealed: Vec<(u64, u64)>,
    current: Option<Current>,
    next: u64,
    failed: bool,
}

struct Current {
    sink: Box<dyn Sink>,
    first: u64,
    salt: u64,
    bytes: u64,
}

impl Log {
    /// Reads a folder back and makes it ready to be written to; `each` is handed all records in their order.
    ///
    /// # Errors
    /// If what is there can't be read or used, or if it can't be written to.
    pub fn open(
        folder: Box<dyn Folder>,
        options: Options,
        each: impl FnMut(u64, &[u8]) -> Result<(), String>,
    ) -> Result<(Self, Opened), OpenError> {
        let (segments, opened) = Reader::new(&*folder).read(each)?;
        let mut next = segments.first().map_or(1, |s| s.first);
        next += opened.records;
        let log = Log {
            folder,
            options,
            sealed: segments.iter().map(|s| (s.first, s.bytes)).collect(),
            current: None,
            next,
            failed: false,
        };
        log.mend(&segments, &opened)?;
        Ok((log, opened))
    }

    /// Removes what was torn, and writes the last segment anew: after a sync that failed, what was read of it may be in the
    /// system's memory only, its end in order as well.
    fn mend(&self, segments: &[Segment], opened: &Opened) -> Result<(), OpenError> {
        let failed = |name: &str| {
            let file = name.to_owned();
            move |error| OpenError::Io { file, error }
        };
        for name in self.folder.list().map_err(failed("."))?.iter().filter(|n| n.ends_with(".tmp")) {
            self.folder.remove(name).map_err(failed(name))?;
        }
        if let Some(last) = segments.last() {
            let bytes = self.folder.read(&last.name).map_err(failed(&last.name))?;
            let scratch = format!("{}.tmp", last.name);
            let write = || {
                let mut sink = self.folder.create(&scratch)?;
                sink.write(&bytes[..last.bytes as usize])?;
                sink.sync()?;
                self.folder.rename(&scratch, &last.name)
            };
            write().map_err(failed(&last.name))?;
        }
        if let Some((torn, ..)) = opened.torn.as_ref().filter(|t| !segments.iter().any(|s| s.name == t.0)) {
            self.folder.remove(torn).map_err(failed(torn))?;
        }
        self.folder.sync().map_err(failed("."))
    }

    /// The number that the next record gets.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Its size on disk, bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.sealed.iter().map(|s| s.1).sum::<u64>() + self.current.as_ref().map_or(0, |c| c.bytes)
    }

    /// Appends records as one frame; when it returns they are as durable as the options ask.
    ///
    /// # Errors
    /// The system's, and from then on always: see the crate's page.
    pub fn append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("the log has failed before"));
        }
        // A frame without records is what ends a segment.
        if records.is_empty() {
            return Ok(());
        }
        let done = self.try_append(records);
        self.failed = done.is_err();
        done
    }

    fn try_append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> io::Result<()> {
        if self.current.as_ref().is_some_and(|c| c.bytes >= self.options.segment) {
            self.seal()?;
        }
        if self.current.is_none() {
            self.begin()?;
        }
        let Some(current) = &mut self.current else { return Err(io::Error::other("no segment")) };
        let mut bytes = Vec::new();
        put_frame(&mut bytes, current.salt, self.next, records);
        current.sink.write(&bytes)?;
        if self.options.sync {
            current.sink.sync()?;
        }
        current.bytes += bytes.len() as u64;
        self.next += records.len() as u64;
        Ok(())
    }

    fn begin(&mut self) -> io::Result<()> {
        // A segment that its process began and put nothing in has the name of the next.
        if self.sealed.last().is_some_and(|(first, _)| *first == self.next) {
            self.sealed.pop();
            self.folder.remove(&name(self.next))?;
        }
        let salt = rand::rng().random();
        let head = head(self.next, salt);
        let mut sink = self.folder.create(&name(self.next))?;
        sink.write(&head)?;
        if self.options.sync {
            sink.sync()?;
            self.folder.sync()?;
        }
        self.current = Some(Current { sink, first: self.next, salt, bytes: head.len() as u64 });
        Ok(())
    }

    /// Ends the present segment in order: damage in it can be told from a torn write from then on.
    fn seal(&mut self) -> io::Result<()> {
        let Some(mut current) = self.current.take() else { return Ok(()) };
        let mut bytes = Vec::new();
        put_frame::<&[u8]>(&mut bytes, current.salt, self.next, &[]);
        current.sink.write(&bytes)?;
        current.sink.sync()?;
        self.sealed.push((current.first, current.bytes + bytes.len() as u64));
        Ok(())
    }

    /// Removes the segments that hold nothing from record `oldest` on; tells whether there were any.
    ///
    /// # Errors
    /// The system's; what could not be removed is tried again.
    pub fn trim(&mut self, oldest: u64) -> io::Result<bool> {
        let mut removed = false;
        while let Some((first, _)) = self.sealed.first() {
            let next = self.sealed.get(1).map(|s| s.0).or(self.current.as_ref().map(|c| c.first));
            if next.is_none_or(|next| next > oldest) {
                break;
            }
            // Oldest first, so that whatever a crash leaves is a log without a gap.
            self.folder.remove(&name(*first))?;
            self.folder.sync()?;
            self.sealed.remove(0);
            removed = true;
        }
        Ok(removed)
    }

    /// Ends the log in order.
    ///
    /// # Errors
    /// The system's, now or before.
    pub fn close(mut self) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("the log has failed before"));
        }
        self.seal()
    }
}
