//! Reading a log: its records in order, its segments, and what a crash tore off at its end.
use crate::directory::Directory;
use crate::error::{CorruptionReason, OpenError, RecordRejected};
use crate::format::Lsn;
use crate::frame::{Frame, contains_later_frame};
use crate::segment::{HEADER_BYTES, SegmentInfo, decode_header, first_lsn_of, has_complete_header};

/// What reading a log found.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// Records that were read.
    pub records: u64,
    /// Bytes that were read.
    pub bytes: u64,
    /// The write at the end of the log that a crash cut short.
    pub torn_write: Option<TornWrite>,
}

/// A write at the end of the log that was cut short. Nothing in it was reported as durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornWrite {
    /// The file.
    pub file_name: String,
    /// Where the torn write begins, bytes from the file's start.
    pub offset: u64,
    /// Its size, bytes.
    pub bytes: u64,
}

/// The segments of a log, and what reading them found.
#[derive(Debug, Default)]
pub struct LogContents {
    /// The segments, oldest first.
    pub segments: Vec<SegmentInfo>,
    /// What was read, and what was torn off.
    pub report: RecoveryReport,
}

/// Reads a log without changing it.
pub struct LogReader<'a> {
    directory: &'a dyn Directory,
}

/// A segment of the directory, not read yet.
struct SegmentFile {
    first_lsn: Lsn,
    name: String,
    /// Only the end of the last segment may be torn.
    is_last: bool,
}

/// What reading one segment found.
struct ParsedSegment {
    /// Where the last readable frame ends, bytes from the file's start.
    valid_bytes: usize,
    /// The LSN of the record that would follow.
    next_lsn: Lsn,
    /// Whether the last frame closes the segment.
    closed: bool,
}

impl<'a> LogReader<'a> {
    /// A reader of this directory.
    pub fn new(directory: &'a dyn Directory) -> Self {
        LogReader { directory }
    }

    /// Reads all records in order and hands each with its LSN to `on_record`.
    ///
    /// # Errors
    /// If a file can't be read, is damaged elsewhere than at the log's end, or if `on_record`
    /// rejects a record.
    pub fn read(
        &self,
        mut on_record: impl FnMut(Lsn, &[u8]) -> Result<(), RecordRejected>,
    ) -> Result<LogContents, OpenError> {
        let mut contents = LogContents::default();
        let mut expected_lsn = None;
        for file in self.segment_files()? {
            let bytes = self.directory.read(&file.name).map_err(|source| file.io_error(source))?;
            file.check_follows(expected_lsn)?;
            // A crash interrupted the creation of the file. The header is synced before anything
            // follows it, so there never was a record in it.
            if file.is_last && bytes.len() <= HEADER_BYTES && !has_complete_header(&bytes) {
                contents.report.torn_write = Some(file.torn_write(0, bytes.len()));
                break;
            }
            let parsed = file.parse(&bytes, &mut on_record)?;
            if parsed.valid_bytes < bytes.len() {
                contents.report.torn_write = Some(file.torn_write(parsed.valid_bytes, bytes.len()));
            }
            contents.report.records += parsed.next_lsn - file.first_lsn;
            contents.report.bytes += parsed.valid_bytes as u64;
            expected_lsn = Some(parsed.next_lsn);
            contents.segments.push(file.into_info(&parsed));
        }
        Ok(contents)
    }

    /// The directory's segments, oldest first.
    fn segment_files(&self) -> Result<Vec<SegmentFile>, OpenError> {
        let listed = self.directory.list();
        let names = listed.map_err(|source| OpenError::Io { file_name: ".".into(), source })?;
        let as_file =
            |name: String| Some(SegmentFile { first_lsn: first_lsn_of(&name)?, name, is_last: false });
        let mut files: Vec<SegmentFile> = names.into_iter().filter_map(as_file).collect();
        files.sort_by(|a, b| (a.first_lsn, &a.name).cmp(&(b.first_lsn, &b.name)));
        if let Some(last) = files.last_mut() {
            last.is_last = true;
        }
        Ok(files)
    }
}

impl SegmentFile {
    /// Whether the segment begins with the record that should come, if one was read before.
    fn check_follows(&self, expected_lsn: Option<Lsn>) -> Result<(), OpenError> {
        match expected_lsn {
            Some(expected_lsn) if expected_lsn != self.first_lsn => {
                let first_lsn = self.first_lsn;
                Err(self.corrupt(0, CorruptionReason::MissingRecords { first_lsn, expected_lsn }))
            }
            _ => Ok(()),
        }
    }

    /// Reads all frames of the segment.
    fn parse(
        &self,
        bytes: &[u8],
        on_record: &mut impl FnMut(Lsn, &[u8]) -> Result<(), RecordRejected>,
    ) -> Result<ParsedSegment, OpenError> {
        let salt = decode_header(&self.name, self.first_lsn, bytes)?.salt;
        let mut parsed = ParsedSegment { valid_bytes: HEADER_BYTES, next_lsn: self.first_lsn, closed: false };
        while parsed.valid_bytes < bytes.len() {
            let offset = parsed.valid_bytes;
            match Frame::decode(&bytes[offset..], salt, parsed.next_lsn) {
                Ok(frame) => self.read_frame(frame, &mut parsed, on_record)?,
                // Frames are synced one by one: with a readable one behind it, this one was
                // complete once.
                Err(error)
                    if !self.is_last || contains_later_frame(&bytes[offset + 1..], salt, parsed.next_lsn) =>
                {
                    return Err(self.corrupt(offset, error.into()));
                }
                // A torn write.
                Err(_) => {
                    parsed.closed = false;
                    break;
                }
            }
        }
        Ok(parsed)
    }

    fn read_frame(
        &self,
        frame: Frame<'_>,
        parsed: &mut ParsedSegment,
        on_record: &mut impl FnMut(Lsn, &[u8]) -> Result<(), RecordRejected>,
    ) -> Result<(), OpenError> {
        let offset = parsed.valid_bytes;
        for (record, lsn) in frame.records().zip(parsed.next_lsn..) {
            let record = record.ok_or_else(|| self.corrupt(offset, CorruptionReason::RecordExceedsFrame))?;
            on_record(lsn, record).map_err(|rejected| self.corrupt(offset, rejected.into()))?;
        }
        parsed.valid_bytes += frame.size_bytes();
        parsed.next_lsn += u64::from(frame.record_count);
        parsed.closed = frame.record_count == 0;
        Ok(())
    }

    fn into_info(self, parsed: &ParsedSegment) -> SegmentInfo {
        SegmentInfo {
            file_name: self.name,
            first_lsn: self.first_lsn,
            size_bytes: parsed.valid_bytes as u64,
            closed: parsed.closed,
        }
    }

    fn torn_write(&self, offset: usize, file_bytes: usize) -> TornWrite {
        let (offset, bytes) = (offset as u64, (file_bytes - offset) as u64);
        TornWrite { file_name: self.name.clone(), offset, bytes }
    }

    fn corrupt(&self, offset: usize, reason: CorruptionReason) -> OpenError {
        OpenError::Corrupt { file_name: self.name.clone(), offset: offset as u64, reason }
    }

    fn io_error(&self, source: std::io::Error) -> OpenError {
        OpenError::Io { file_name: self.name.clone(), source }
    }
}
