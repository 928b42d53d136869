//! Tables: CSV (RFC 4180) with a header row, in any order, with columns of others' between. Lines that begin with `#` and
//! blank ones are passed over. Fields are the csv crate's; where they stand is found by walking the same bytes once more,
//! since it tells neither columns nor the line of a record behind comments.
use crate::Delimiter;
use crate::mapping::{Reading, Target};
use csv::{ByteRecord, ReaderBuilder, Trim};
use spanlead_worker_attributes::{Done, Fact, Item, Place, Rank, Raw, RawFile, Refusal, Value};
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
    OpenQuote(Place),
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
            let end = match comment {
                true => rest.iter().position(|b| *b == b'\n').map_or(rest.len(), |p| p + 1),
                false => 1 + usize::from(rest.starts_with(b"\r\n")),
            };
            self.byte += end;
            self.line += 1;
        }
    }

    /// Walks one record; the places of its fields go to `places`.
    fn record(&mut self, places: &mut Vec<Place>) -> Ended {
        places.clear();
        let mut quoted: Option<Place> = None;
        let (mut fresh, mut column) = (true, 1);
        while let Some(&byte) = self.text.get(self.byte) {
            if fresh {
                let at = Place { file: 0, line: self.line, column };
                places.push(at);
                fresh = false;
                if byte == b'"' {
                    quoted = Some(at);
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
            places.push(Place { file: 0, line: self.line, column });
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
    Fact(Fact, Option<String>, Arc<str>),
    Other,
}

pub(crate) fn read(name: &Arc<str>, text: &[u8], reading: &Reading) -> RawFile {
    let mut raw = RawFile {
        files: vec![name.clone()],
        by_line: true,
        host_key: Arc::from(reading.mapping.host_name()),
        ..RawFile::default()
    };
    if let Err(refusal) = rows(text, reading, &mut raw) {
        raw.hosts.clear();
        raw.refusals.push(refusal);
    }
    raw
}

fn rows(text: &[u8], reading: &Reading, raw: &mut RawFile) -> Result<(), Refusal> {
    let delimiter = delimiter(text, reading.delimiter);
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
        if let Ended::OpenQuote(at) = walk.record(&mut places) {
            return Err(Refusal::whole(at, "", "a quote that is opened here is never closed"));
        }
        let at = places.first().copied().unwrap_or_default();
        let there =
            reader.read_byte_record(&mut record).map_err(|e| Refusal::whole(at, "", e.to_string()))?;
        if !there || record.len() != places.len() {
            // A guard: the two ways to read it must never part, or a place would be a lie.
            return Err(Refusal::whole(at, "", "the fields of this line can't be told apart"));
        }
        let Some(columns) = &columns else {
            columns = Some(header(&record, &places, reading)?);
            continue;
        };
        let mut left_out = |at: Place, key: &str, reason: String| {
            raw.refusals.push(Refusal { at, key: key.into(), reason, done: Done::LineLeftOut });
        };
        if walk.byte - begin > MAX_RECORD {
            left_out(at, "", format!("is longer than {MAX_RECORD} bytes"));
            continue;
        }
        if record.len() != columns.len() {
            left_out(at, "", format!("has {} fields, the header {}", record.len(), columns.len()));
            continue;
        }
        match row(&record, &places, columns, &raw.host_key) {
            Ok(host) => raw.hosts.push(host),
            Err((at, key, reason)) => left_out(at, &key, reason),
        }
        if raw.hosts.len() > reading.hosts {
            return Err(Refusal::whole(at, "", format!("there are more than {} hosts", reading.hosts)));
        }
    }
    match columns {
        Some(_) => Ok(()),
        None => Err(Refusal::whole(Place::default(), "", "there is no header row")),
    }
}

fn header(record: &ByteRecord, places: &[Place], reading: &Reading) -> Result<Vec<Column>, Refusal> {
    let mapping = &reading.mapping;
    if record.len() > MAX_COLUMNS {
        return Err(Refusal::whole(places[0], "", format!("the header has more than {MAX_COLUMNS} columns")));
    }
    let mut columns = Vec::new();
    let mut seen: Vec<(String, Place)> = Vec::new();
    for (field, at) in record.iter().zip(places) {
        let Ok(name) = std::str::from_utf8(field) else {
            return Err(Refusal::whole(*at, "", "the header is not UTF-8 text"));
        };
        let host = mapping.is_host(name) && !columns.iter().any(|c| matches!(c, Column::Host));
        let target = if host { None } else { mapping.target(name) };
        if host || target.is_some() {
            if let Some((_, first)) = seen.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)) {
                let why = format!("the column stands at {}:{} already", first.line, first.column);
                return Err(Refusal::whole(*at, name, why));
            }
            seen.push((name.to_owned(), *at));
        }
        columns.push(match target {
            _ if host => Column::Host,
            Some(Target::Fact(fact)) => Column::Fact(fact, None, Arc::from(name)),
            Some(Target::Label(label)) => Column::Fact(Fact::Labels, Some(label), Arc::from(name)),
            None => Column::Other,
        });
    }
    let has = |wanted: &str| record.iter().any(|f| f.eq_ignore_ascii_case(wanted.as_bytes()));
    if !columns.iter().any(|c| matches!(c, Column::Host)) {
        let why = "the header has no such column, and it names the hosts";
        return Err(Refusal::whole(places[0], mapping.host_name(), why));
    }
    match mapping.set.iter().find(|(_, column)| !has(column)) {
        Some((_, column)) => Err(Refusal::whole(
            places[0],
            column.as_str(),
            "the settings name this column, the header doesn't",
        )),
        None => Ok(columns),
    }
}

/// A row's host and what is said of it, or what is wrong with the row, and where.
fn row(
    record: &ByteRecord,
    places: &[Place],
    columns: &[Column],
    host_key: &str,
) -> Result<Raw, (Place, String, String)> {
    let mut raw = Raw { host: String::new(), at: places[0], items: Vec::new() };
    for ((field, at), column) in record.iter().zip(places).zip(columns) {
        let key = match column {
            Column::Other => continue,
            Column::Host => host_key,
            Column::Fact(_, _, key) => key,
        };
        let text =
            std::str::from_utf8(field).map_err(|_| (*at, key.to_owned(), "is not UTF-8 text".to_owned()))?;
        match column {
            Column::Other => {}
            Column::Host => (raw.host, raw.at) = (text.to_owned(), *at),
            Column::Fact(..) if text.is_empty() => {}
            Column::Fact(fact, label, key) => {
                let value = match label {
                    Some(label) => Value::Labels(vec![(label.clone(), text.to_owned(), *at)]),
                    None => Value::Text(text.to_owned()),
                };
                raw.items.push(Item { fact: *fact, key: key.clone(), value, at: *at, rank: Rank::default() });
            }
        }
    }
    Ok(raw)
}
