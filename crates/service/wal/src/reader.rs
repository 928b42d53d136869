//! Reading a log: its records in order, its segments, and a torn write at its end.
use crate::directory::Directory;
use crate::error::{CorruptionReason, OpenError, RecordRejected};
use crate::format::Lsn;
use crate::frame::{Frame, contains_later_frame};
use crate::segment::{SEGMENT_HEADER_BYTES, SegmentInfo, decode_header, has_valid_header, parse_file_name};

/// The summary of reading a log.
#[derive(Debug, Default)]
pub struct RecoveryReport {
    /// The number of records that were read.
    pub records: u64,
    /// The number of bytes that were read, without a torn write.
    pub bytes: u64,
    /// The write at the end of the log that a crash interrupted, if any.
    pub torn_write: Option<TornWrite>,
}

/// An incomplete write at the end of the log. None of its records was reported as durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornWrite {
    /// The file.
    pub file_name: String,
    /// The start of the torn write, in bytes from the file's start.
    pub offset: u64,
    /// Its size, bytes.
    pub bytes: u64,
}

/// The segments of a log, and the summary of reading them.
#[derive(Debug, Default)]
pub struct LogContents {
    /// The segments, oldest first.
    pub segments: Vec<SegmentInfo>,
    /// How much was read, and the torn write.
    pub report: RecoveryReport,
}

/// Reads a log without changing it.
pub struct LogReader<'a> {
    directory: &'a dyn Directory,
}

/// A segment file of the directory, before it is read.
struct SegmentFile {
    first_lsn: Lsn,
    name: String,
    /// Whether this is the last segment, the only one whose end may be torn.
    is_last: bool,
}

/// The result of reading one segment.
struct ParsedSegment {
    /// The end of the last readable frame, in bytes from the file's start.
    valid_bytes: usize,
    /// The LSN after the last record.
    next_lsn: Lsn,
    /// Whether the last frame is a closing frame.
    closed: bool,
}

impl<'a> LogReader<'a> {
    /// Creates a reader of this directory.
    pub fn new(directory: &'a dyn Directory) -> Self {
        LogReader { directory }
    }

    /// Reads all records in order and passes each with its LSN to `on_record`.
    ///
    /// # Errors
    /// If a file can't be read or is damaged other than by a torn write at the end of the log, if
    /// it has an unsupported version, or if `on_record` rejects a record.
    pub fn read(
        &self,
        mut on_record: impl FnMut(Lsn, &[u8]) -> Result<(), RecordRejected>,
    ) -> Result<LogContents, OpenError> {
        let mut contents = LogContents::default();
        let mut expected_lsn = None;
        for file in self.segment_files()? {
            let bytes = self.directory.read(&file.name).map_err(|source| file.io_error(source))?;
            file.check_follows(expected_lsn)?;
            // A crash interrupted the creation of the file. The header is synced before the first
            // frame is written, so the file never contained a record.
            if file.is_last && bytes.len() <= SEGMENT_HEADER_BYTES && !has_valid_header(&bytes) {
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

    /// Lists the segment files of the directory, oldest first.
    fn segment_files(&self) -> Result<Vec<SegmentFile>, OpenError> {
        let listed = self.directory.list();
        let names = listed.map_err(|source| OpenError::Io { file_name: ".".into(), source })?;
        let as_file =
            |name: String| Some(SegmentFile { first_lsn: parse_file_name(&name)?, name, is_last: false });
        let mut files: Vec<SegmentFile> = names.into_iter().filter_map(as_file).collect();
        files.sort_by(|a, b| (a.first_lsn, &a.name).cmp(&(b.first_lsn, &b.name)));
        if let Some(last) = files.last_mut() {
            last.is_last = true;
        }
        Ok(files)
    }
}

impl SegmentFile {
    /// Checks that the segment begins with the record `expected_lsn`. `None` for the first segment,
    /// which may begin with any record.
    fn check_follows(&self, expected_lsn: Option<Lsn>) -> Result<(), OpenError> {
        match expected_lsn {
            Some(expected_lsn) if expected_lsn != self.first_lsn => {
                let first_lsn = self.first_lsn;
                Err(self.corrupt(0, CorruptionReason::MissingRecords { first_lsn, expected_lsn }))
            }
            _ => Ok(()),
        }
    }

    /// Reads the frames of the segment up to its end or a torn write, and passes their records to
    /// `on_record`.
    fn parse(
        &self,
        bytes: &[u8],
        on_record: &mut impl FnMut(Lsn, &[u8]) -> Result<(), RecordRejected>,
    ) -> Result<ParsedSegment, OpenError> {
        let salt = decode_header(&self.name, self.first_lsn, bytes)?.salt;
        let mut parsed =
            ParsedSegment { valid_bytes: SEGMENT_HEADER_BYTES, next_lsn: self.first_lsn, closed: false };
        while parsed.valid_bytes < bytes.len() {
            let offset = parsed.valid_bytes;
            match Frame::decode(&bytes[offset..], salt, parsed.next_lsn) {
                Ok(frame) => self.read_frame(frame, &mut parsed, on_record)?,
                // With `sync_on_commit`, each frame is synced before the next is written: since a
                // readable frame follows or a later segment exists, this one was once complete.
                Err(error)
                    if !self.is_last || contains_later_frame(&bytes[offset + 1..], salt, parsed.next_lsn) =>
                {
                    return Err(self.corrupt(offset, error.into()));
                }
                // Nothing readable follows in the last segment: a torn write.
                Err(_) => {
                    parsed.closed = false;
                    break;
                }
            }
        }
        Ok(parsed)
    }

    /// Passes the records of the frame at `parsed.valid_bytes` to `on_record`, and advances
    /// `parsed` past the frame.
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
