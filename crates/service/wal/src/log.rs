//! Writing at the end of a log.
use crate::directory::{AppendFile, Directory};
use crate::error::{AppendError, OpenError, RecordRejected};
use crate::format::Lsn;
use crate::frame::{encode_closing_frame, encode_frame};
use crate::reader::{LogContents, LogReader, RecoveryReport};
use crate::segment::{SegmentInfo, encode_header, file_name};
use rand::Rng;
use std::io;

/// The LSN of the first record of a log.
const FIRST_LSN: Lsn = 1;
/// The extension of a file that is being written and will replace a segment.
const TEMPORARY_EXTENSION: &str = ".tmp";

/// How a log is written.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// A segment that has grown to this many bytes is closed and the next begun.
    pub max_segment_bytes: u64,
    /// Whether an append waits until the disk has the records.
    pub sync_on_commit: bool,
}

/// A log that is written to. At most one may exist for a directory.
pub struct WriteAheadLog {
    directory: Box<dyn Directory>,
    options: LogOptions,
    /// The segments that are not written to any more, oldest first.
    sealed: Vec<SealedSegment>,
    active: Option<ActiveSegment>,
    next_lsn: Lsn,
    /// An append has failed: what is on disk behind the last success is not known.
    failed: bool,
}

struct SealedSegment {
    first_lsn: Lsn,
    size_bytes: u64,
}

/// The segment that records are appended to.
struct ActiveSegment {
    file: Box<dyn AppendFile>,
    first_lsn: Lsn,
    salt: u64,
    size_bytes: u64,
}

impl WriteAheadLog {
    /// Reads the log of a directory, hands all records in order to `on_record`, and makes the log
    /// ready to be written.
    ///
    /// # Errors
    /// If the log can't be read, is corrupt or can't be written to, or if `on_record` rejects a
    /// record.
    pub fn open(
        directory: Box<dyn Directory>,
        options: LogOptions,
        on_record: impl FnMut(Lsn, &[u8]) -> Result<(), RecordRejected>,
    ) -> Result<(Self, RecoveryReport), OpenError> {
        let contents = LogReader::new(&*directory).read(on_record)?;
        let first_lsn = contents.segments.first().map_or(FIRST_LSN, |segment| segment.first_lsn);
        let sealed = contents.segments.iter();
        let sealed =
            sealed.map(|info| SealedSegment { first_lsn: info.first_lsn, size_bytes: info.size_bytes });
        let log = WriteAheadLog {
            directory,
            options,
            sealed: sealed.collect(),
            active: None,
            next_lsn: first_lsn + contents.report.records,
            failed: false,
        };
        log.repair_tail(&contents)?;
        Ok((log, contents.report))
    }

    /// Removes what was torn, and writes the last segment again: after a failed sync, what was read
    /// of it, its closing frame included, may be in the system's memory only.
    fn repair_tail(&self, contents: &LogContents) -> Result<(), OpenError> {
        self.remove_temporary_files()?;
        if let Some(last) = contents.segments.last() {
            self.rewrite_segment(last).map_err(io_error(&last.file_name))?;
        }
        let is_segment = |file_name: &str| contents.segments.iter().any(|info| info.file_name == file_name);
        if let Some(torn) = &contents.report.torn_write
            && !is_segment(&torn.file_name)
        {
            self.directory.remove(&torn.file_name).map_err(io_error(&torn.file_name))?;
        }
        self.directory.sync().map_err(io_error("."))
    }

    /// Removes the files that a crash left behind while a segment was written again.
    fn remove_temporary_files(&self) -> Result<(), OpenError> {
        let names = self.directory.list().map_err(io_error("."))?;
        for name in names.iter().filter(|name| name.ends_with(TEMPORARY_EXTENSION)) {
            self.directory.remove(name).map_err(io_error(name))?;
        }
        Ok(())
    }

    /// Writes the readable part of a segment to a new file, and puts that in the segment's place
    /// once it is on disk.
    fn rewrite_segment(&self, segment: &SegmentInfo) -> io::Result<()> {
        let bytes = self.directory.read(&segment.file_name)?;
        let temporary = format!("{}{TEMPORARY_EXTENSION}", segment.file_name);
        let mut file = self.directory.create(&temporary)?;
        file.append(&bytes[..segment.size_bytes as usize])?;
        file.sync()?;
        self.directory.rename(&temporary, &segment.file_name)
    }

    /// The LSN of the next record.
    #[must_use]
    pub fn next_lsn(&self) -> Lsn {
        self.next_lsn
    }

    /// The log's size on disk, bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let sealed: u64 = self.sealed.iter().map(|segment| segment.size_bytes).sum();
        sealed + self.active.as_ref().map_or(0, |segment| segment.size_bytes)
    }

    /// Appends records as one frame. When it returns they are durable, if the options ask for that.
    ///
    /// # Errors
    /// What the system reports, and [`AppendError::FailedBefore`] from then on: see the crate's
    /// page.
    pub fn append<R: AsRef<[u8]>>(&mut self, records: &[R]) -> Result<(), AppendError> {
        if self.failed {
            return Err(AppendError::FailedBefore);
        }
        // A frame without records would close the segment.
        if records.is_empty() {
            return Ok(());
        }
        let appended = self.append_frame(records);
        self.failed = appended.is_err();
        Ok(appended?)
    }

    fn append_frame<R: AsRef<[u8]>>(&mut self, records: &[R]) -> io::Result<()> {
        let max_segment_bytes = self.options.max_segment_bytes;
        if self.active.as_ref().is_some_and(|segment| segment.size_bytes >= max_segment_bytes) {
            self.close_segment()?;
        }
        if self.active.is_none() {
            self.active = Some(self.create_segment()?);
        }
        let Some(segment) = &mut self.active else { return Err(io::Error::other("no segment")) };
        let frame = encode_frame(segment.salt, self.next_lsn, records);
        segment.file.append(&frame)?;
        if self.options.sync_on_commit {
            segment.file.sync()?;
        }
        segment.size_bytes += frame.len() as u64;
        self.next_lsn += records.len() as u64;
        Ok(())
    }

    fn create_segment(&mut self) -> io::Result<ActiveSegment> {
        let file_name = file_name(self.next_lsn);
        // A segment that its process began and put no record in has the name of the new one.
        if self.sealed.last().is_some_and(|segment| segment.first_lsn == self.next_lsn) {
            self.sealed.pop();
            self.directory.remove(&file_name)?;
        }
        let salt = rand::rng().random();
        let header = encode_header(self.next_lsn, salt);
        let mut file = self.directory.create(&file_name)?;
        file.append(&header)?;
        if self.options.sync_on_commit {
            file.sync()?;
            self.directory.sync()?;
        }
        Ok(ActiveSegment { file, first_lsn: self.next_lsn, salt, size_bytes: header.len() as u64 })
    }

    /// Closes the active segment: from then on damage at its end can be told from a torn write.
    fn close_segment(&mut self) -> io::Result<()> {
        let Some(mut segment) = self.active.take() else { return Ok(()) };
        let closing_frame = encode_closing_frame(segment.salt, self.next_lsn);
        segment.file.append(&closing_frame)?;
        segment.file.sync()?;
        let size_bytes = segment.size_bytes + closing_frame.len() as u64;
        self.sealed.push(SealedSegment { first_lsn: segment.first_lsn, size_bytes });
        Ok(())
    }

    /// Removes the segments whose records all precede `oldest_needed`; returns whether there were
    /// any.
    ///
    /// # Errors
    /// What the system reports. A segment that could not be removed is tried again by the next
    /// call.
    pub fn trim(&mut self, oldest_needed: Lsn) -> io::Result<bool> {
        let mut removed = false;
        while let Some(oldest) = self.sealed.first() {
            let next_first_lsn = match self.sealed.get(1) {
                Some(next) => Some(next.first_lsn),
                None => self.active.as_ref().map(|segment| segment.first_lsn),
            };
            if next_first_lsn.is_none_or(|first_lsn| first_lsn > oldest_needed) {
                break;
            }
            // Oldest first, so that whatever a crash leaves is a log without a gap.
            self.directory.remove(&file_name(oldest.first_lsn))?;
            self.directory.sync()?;
            self.sealed.remove(0);
            removed = true;
        }
        Ok(removed)
    }

    /// Closes the log.
    ///
    /// # Errors
    /// What the system reports, or [`AppendError::FailedBefore`].
    pub fn close(mut self) -> Result<(), AppendError> {
        if self.failed {
            return Err(AppendError::FailedBefore);
        }
        Ok(self.close_segment()?)
    }
}

/// Turns the system's report into an error that names the file.
fn io_error(file_name: &str) -> impl FnOnce(io::Error) -> OpenError + use<> {
    let file_name = file_name.to_owned();
    move |source| OpenError::Io { file_name, source }
}
