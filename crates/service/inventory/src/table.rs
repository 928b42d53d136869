//! Tables: CSV (RFC 4180) with a header row, in any order, with columns of others' between. Lines
//! that begin with `#` and
//! blank ones are passed over. Fields are the csv crate's; where they stand is found by walking the
//! same bytes once more,
//! since it tells neither columns nor the line of a record behind comments.
use crate::Delimiter;
use crate::mapping::{ColumnTarget, ReadOptions};
use csv::{ByteRecord, ReaderBuilder, Trim};
use spanlead_worker_attributes::{
    Attribute, Diagnostic, DiagnosticEffect, Precedence, RawHost, RawInventory, RawValue, SourceLocation,
    Statement,
};
use std::sync::Arc;

/// A row longer than this is no host's: a quote that closes too late.
const MAX_RECORD: usize = 64 << 10;
/// No table has more columns.
const MAX_COLUMNS: usize = 1024;

/// Where the fields of one record begin.
struct Walk<'t> {
    text: &'t [u8],
    byte: usize,
    line: u32,
    delimiter: u8,
}

enum Ended {
    Record,
    /// A quote that was opened there is never closed.
    OpenQuote(SourceLocation),
}

impl Walk<'_> {
    /// Passes over blank lines and comments; `None` at the end.
    fn next_record(&mut self) -> Option<()> {
        loop {
            let rest = self.text.get(self.byte..).filter(|r| !r.is_empty())?;
            let comment = rest[0] == b'#';
            if !comment && !matches!(rest[0], b'\r' | b'\n') {
                return Some(());
            }
            let end = if comment {
                rest.iter().position(|b| *b == b'\n').map_or(rest.len(), |p| p + 1)
            } else {
                1 + usize::from(rest.starts_with(b"\r\n"))
            };
            self.byte += end;
            self.line += 1;
        }
    }

    /// Walks one record; the places of its fields go to `places`.
    fn record(&mut self, places: &mut Vec<SourceLocation>) -> Ended {
        places.clear();
        let mut quoted: Option<SourceLocation> = None;
        let (mut fresh, mut column) = (true, 1);
        while let Some(&byte) = self.text.get(self.byte) {
            if fresh {
                let location = SourceLocation { file: 0, line: self.line, column };
                places.push(location);
                fresh = false;
                if byte == b'"' {
                    quoted = Some(location);
                    self.byte += 1;
                    column += 1;
                    continue;
                }
            }
            self.byte += 1;
            // In UTF-8 every character has one byte that is no continuation.
            column += u32::from(byte & 0xc0 != 0x80);
            match byte {
                b'"' if quoted.is_some() => match self.text.get(self.byte) {
                    Some(b'"') => {
                        self.byte += 1;
                        column += 1;
                    }
                    _ => quoted = None,
                },
                // As the csv crate has it, a carriage return alone ends a line too.
                b'\r' if self.text.get(self.byte) == Some(&b'\n') => {}
                b'\n' | b'\r' => {
                    self.line += 1;
                    column = 1;
                    if quoted.is_none() {
                        return Ended::Record;
                    }
                }
                b if b == self.delimiter && quoted.is_none() => fresh = true,
                _ => {}
            }
        }
        if fresh {
            places.push(SourceLocation { file: 0, line: self.line, column });
        }
        quoted.map_or(Ended::Record, Ended::OpenQuote)
    }
}

fn delimiter(text: &[u8], wanted: Delimiter) -> u8 {
    let header = text.split(|b| *b == b'\n').find(|l| !l.is_empty() && l[0] != b'#' && l != b"\r");
    let count = |d: u8| header.map_or(0, |h| h.iter().filter(|b| **b == d).count());
    match wanted {
        Delimiter::Comma => b',',
        Delimiter::Semicolon => b';',
        Delimiter::Tab => b'\t',
        Delimiter::Auto => {
            [b',', b';', b'\t'].into_iter().max_by_key(|d| (count(*d), *d == b',')).unwrap_or(b',')
        }
    }
}

/// What a column is.
enum Column {
    Host,
    Attribute(Attribute, Option<String>, Arc<str>),
    Other,
}

pub(crate) fn read(name: &Arc<str>, text: &[u8], options: &ReadOptions) -> RawInventory {
    let mut raw = RawInventory {
        files: vec![name.clone()],
        by_line: true,
        host_key: Arc::from(options.mapping.host_column()),
        ..RawInventory::default()
    };
    if let Err(diagnostic) = rows(text, options, &mut raw) {
        raw.hosts.clear();
        raw.diagnostics.push(diagnostic);
    }
    raw
}

fn rows(text: &[u8], options: &ReadOptions, raw: &mut RawInventory) -> Result<(), Diagnostic> {
    let delimiter = delimiter(text, options.delimiter);
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter)
        .comment(Some(b'#'))
        .flexible(true)
        .has_headers(false)
        .trim(Trim::All)
        .from_reader(text);
    let mut walk = Walk { text, byte: 0, line: 1, delimiter };
    let (mut record, mut places) = (ByteRecord::new(), Vec::new());
    let mut columns: Option<Vec<Column>> = None;
    loop {
        if walk.next_record().is_none() {
            break;
        }
        let begin = walk.byte;
        if let Ended::OpenQuote(location) = walk.record(&mut places) {
            return Err(Diagnostic::file_rejected(
                location,
                "",
                "a quote that is opened here is never closed",
            ));
        }
        let location = places.first().copied().unwrap_or_default();
        let there = reader
            .read_byte_record(&mut record)
            .map_err(|e| Diagnostic::file_rejected(location, "", e.to_string()))?;
        if !there || record.len() != places.len() {
            // A guard: the two ways to read it must never part, or a place would be a lie.
            return Err(Diagnostic::file_rejected(
                location,
                "",
                "the fields of this line can't be told apart",
            ));
        }
        let Some(columns) = &columns else {
            columns = Some(header(&record, &places, options)?);
            continue;
        };
        let mut left_out = |location: SourceLocation, key: &str, reason: String| {
            raw.diagnostics.push(Diagnostic {
                location,
                key: key.into(),
                reason,
                effect: DiagnosticEffect::LineSkipped,
            });
        };
        if walk.byte - begin > MAX_RECORD {
            left_out(location, "", format!("is longer than {MAX_RECORD} bytes"));
            continue;
        }
        if record.len() != columns.len() {
            left_out(location, "", format!("has {} fields, the header {}", record.len(), columns.len()));
            continue;
        }
        match row(&record, &places, columns, &raw.host_key) {
            Ok(host) => raw.hosts.push(host),
            Err((location, key, reason)) => left_out(location, &key, reason),
        }
        if raw.hosts.len() > options.max_hosts {
            return Err(Diagnostic::file_rejected(
                location,
                "",
                format!("there are more than {} hosts", options.max_hosts),
            ));
        }
    }
    match columns {
        Some(_) => Ok(()),
        None => Err(Diagnostic::file_rejected(SourceLocation::default(), "", "there is no header row")),
    }
}

fn header(
    record: &ByteRecord,
    places: &[SourceLocation],
    options: &ReadOptions,
) -> Result<Vec<Column>, Diagnostic> {
    let mapping = &options.mapping;
    if record.len() > MAX_COLUMNS {
        return Err(Diagnostic::file_rejected(
            places[0],
            "",
            format!("the header has more than {MAX_COLUMNS} columns"),
        ));
    }
    let mut columns = Vec::new();
    let mut seen: Vec<(String, SourceLocation)> = Vec::new();
    for (field, location) in record.iter().zip(places) {
        let Ok(name) = std::str::from_utf8(field) else {
            return Err(Diagnostic::file_rejected(*location, "", "the header is not UTF-8 text"));
        };
        let host = mapping.is_host(name) && !columns.iter().any(|c| matches!(c, Column::Host));
        let target = if host { None } else { mapping.target(name) };
        if host || target.is_some() {
            if let Some((_, first)) = seen.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)) {
                let why = format!("the column stands at {}:{} already", first.line, first.column);
                return Err(Diagnostic::file_rejected(*location, name, why));
            }
            seen.push((name.to_owned(), *location));
        }
        columns.push(match target {
            _ if host => Column::Host,
            Some(ColumnTarget::Attribute(attribute)) => Column::Attribute(attribute, None, Arc::from(name)),
            Some(ColumnTarget::Label(label)) => {
                Column::Attribute(Attribute::Labels, Some(label), Arc::from(name))
            }
            None => Column::Other,
        });
    }
    let has = |wanted: &str| record.iter().any(|f| f.eq_ignore_ascii_case(wanted.as_bytes()));
    if !columns.iter().any(|c| matches!(c, Column::Host)) {
        let why = "the header has no such column, and it names the hosts";
        return Err(Diagnostic::file_rejected(places[0], mapping.host_column(), why));
    }
    match mapping.columns.iter().find(|mapped| !has(&mapped.column)) {
        Some(mapped) => Err(Diagnostic::file_rejected(
            places[0],
            mapped.column.as_str(),
            "the settings name this column, the header doesn't",
        )),
        None => Ok(columns),
    }
}

/// A row's host and what is said of it, or what is wrong with the row, and where.
fn row(
    record: &ByteRecord,
    places: &[SourceLocation],
    columns: &[Column],
    host_key: &str,
) -> Result<RawHost, (SourceLocation, String, String)> {
    let mut raw = RawHost { host: String::new(), location: places[0], statements: Vec::new() };
    for ((field, location), column) in record.iter().zip(places).zip(columns) {
        let key = match column {
            Column::Other => continue,
            Column::Host => host_key,
            Column::Attribute(_, _, key) => key,
        };
        let text = std::str::from_utf8(field)
            .map_err(|_| (*location, key.to_owned(), "is not UTF-8 text".to_owned()))?;
        match column {
            Column::Other => {}
            Column::Host => (raw.host, raw.location) = (text.to_owned(), *location),
            Column::Attribute(..) if text.is_empty() => {}
            Column::Attribute(attribute, label, key) => {
                let value = match label {
                    Some(label) => RawValue::Labels(vec![(label.clone(), text.to_owned(), *location)]),
                    None => RawValue::Text(text.to_owned()),
                };
                raw.statements.push(Statement {
                    attribute: *attribute,
                    key: key.clone(),
                    value,
                    location: *location,
                    precedence: Precedence::default(),
                });
            }
        }
    }
    Ok(raw)
}
