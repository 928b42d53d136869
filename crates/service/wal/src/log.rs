//! Opening a log and appending to it.
use crate::directory::{AppendFile, Directory};
use crate::error::{AppendError, OpenError, RecordRejected};
use crate::format::Lsn;
use crate::frame::{encode_closing_frame, encode_frame};
use crate::reader::{LogContents, LogReader, RecoveryReport};
use crate::segment::{SegmentInfo, encode_header, segment_file_name};
use rand::Rng;
use std::io;

/// The LSN of the first record of a log.
const FIRST_LSN: Lsn = 1;
/// The extension of the temporary file that replaces a segment once it is complete.
const TEMPORARY_EXTENSION: &str = ".tmp";

/// Settings for writing a log.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// The size, in bytes, at which a segment is closed and the next one created. The frame that
    /// reaches it is written whole, so a segment may be larger.
    pub max_segment_bytes: u64,
    /// Whether an append syncs, so that its records are durable when it returns.
    pub sync_on_commit: bool,
}

/// A log that is open for appending. At most one may exist for each directory.
pub struct WriteAheadLog {
    directory: Box<dyn Directory>,
    options: LogOptions,
    /// The segments that are no longer appended to, oldest first.
    sealed: Vec<SealedSegment>,
    active: Option<ActiveSegment>,
    next_lsn: Lsn,
    /// Whether an append has failed. What was written after the last successful append may then be
    /// on disk or not.
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
    /// Reads the log of a directory, passes all records in order to `on_record`, removes a torn
    /// write, and prepares the log for appending.
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

    /// Removes a torn write and rewrites the last segment. After a failed sync, the content that
    /// was read from it, its closing frame included, may exist only in the page cache.
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

    /// Removes the temporary files of rewrites that a crash interrupted.
    fn remove_temporary_files(&self) -> Result<(), OpenError> {
        let names = self.directory.list().map_err(io_error("."))?;
        for name in names.iter().filter(|name| name.ends_with(TEMPORARY_EXTENSION)) {
            self.directory.remove(name).map_err(io_error(name))?;
        }
        Ok(())
    }

    /// Writes the readable part of a segment to a temporary file, syncs it, and renames it to the
    /// segment's file name.
    fn rewrite_segment(&self, segment: &SegmentInfo) -> io::Result<()> {
        let bytes = self.directory.read(&segment.file_name)?;
        let temporary = format!("{}{TEMPORARY_EXTENSION}", segment.file_name);
        let mut file = self.directory.create(&temporary)?;
        file.append(&bytes[..segment.size_bytes as usize])?;
        file.sync()?;
        self.directory.rename(&temporary, &segment.file_name)
    }

    /// Returns the LSN of the next record.
    #[must_use]
    pub fn next_lsn(&self) -> Lsn {
        self.next_lsn
    }

    /// Returns the size of the log on disk, bytes.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let sealed: u64 = self.sealed.iter().map(|segment| segment.size_bytes).sum();
        sealed + self.active.as_ref().map_or(0, |segment| segment.size_bytes)
    }

    /// Appends records as one frame. With [`LogOptions::sync_on_commit`], they are durable when
    /// this returns.
    ///
    /// # Errors
    /// The I/O error of the system, and [`AppendError::FailedBefore`] from every later call: see
    /// the crate documentation for the reason.
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
        let Some(segment) = &mut self.active else {
            return Err(io::Error::other("there is no active segment to append to"));
        };
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
        let file_name = segment_file_name(self.next_lsn);
        // An earlier process created this segment and wrote no record to it, so the new segment has
        // the same name.
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

    /// Closes the active segment with a closing frame, by which a reader tells damage in the last
    /// records from a torn write.
    fn close_segment(&mut self) -> io::Result<()> {
        let Some(mut segment) = self.active.take() else { return Ok(()) };
        let closing_frame = encode_closing_frame(segment.salt, self.next_lsn);
        segment.file.append(&closing_frame)?;
        segment.file.sync()?;
        let size_bytes = segment.size_bytes + closing_frame.len() as u64;
        self.sealed.push(SealedSegment { first_lsn: segment.first_lsn, size_bytes });
        Ok(())
    }

    /// Removes the segments whose records all precede `oldest_needed`. Returns whether any was
    /// removed.
    ///
    /// # Errors
    /// The I/O error of the system. The next call retries a segment that could not be removed.
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
            // Oldest first, so that a crash in between leaves a log without a gap.
            self.directory.remove(&segment_file_name(oldest.first_lsn))?;
            self.directory.sync()?;
            self.sealed.remove(0);
            removed = true;
        }
        Ok(removed)
    }

    /// Closes the log: ends the active segment, if there is one, with a closing frame and syncs it.
    ///
    /// # Errors
    /// The I/O error of the system, or [`AppendError::FailedBefore`].
    pub fn close(mut self) -> Result<(), AppendError> {
        if self.failed {
            return Err(AppendError::FailedBefore);
        }
        Ok(self.close_segment()?)
    }
}

/// Returns a function that converts an I/O error into an error with the file's name.
fn io_error(file_name: &str) -> impl FnOnce(io::Error) -> OpenError + use<> {
    let file_name = file_name.to_owned();
    move |source| OpenError::Io { file_name, source }
}
