//! Reads the tables of a settings file and collects all faults.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::ops::RangeInclusive;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use fes_protocol::ResultCode;
use toml_edit::Document;
use toml_edit::Item;
use toml_edit::TableLike;
use toml_edit::Value;

use crate::Fault;
use crate::Faults;

const ALLOWED_ADDRESS: &str = "IP:PORT with a numeric IP address";
const ALLOWED_NAME: &str =
    "1 to 63 lower-case letters, digits, '-' and '.', beginning with a letter or digit";
const MAX_NAME_BYTES: usize = 63;

/// A parsed settings file and the faults that were found so far.
pub(crate) struct SettingsFile {
    file: Arc<str>,
    directory: PathBuf,
    document: Document<String>,
    faults: RefCell<Vec<Fault>>,
}

/// Reads the keys of one table. A key that is never read counts as unknown.
pub(crate) struct TableReader<'a> {
    settings_file: &'a SettingsFile,
    table: &'a dyn TableLike,
    path: String,
    span: Option<Range<usize>>,
    known_keys: RefCell<Vec<&'static str>>,
}

/// Reads the text of a settings file.
pub(crate) fn read_file(path: &Path) -> Result<String, Faults> {
    std::fs::read_to_string(path).map_err(|error| {
        Faults(vec![Fault {
            file: Arc::from(path.display().to_string()),
            line: 0,
            key: String::new(),
            value: error.to_string(),
            allowed: "a readable TOML file".to_owned(),
            code: ResultCode::SettingsUnreadable,
        }])
    })
}

impl SettingsFile {
    /// Parses `text`. Relative paths in it are resolved against the directory of `path`.
    pub(crate) fn parse(path: &Path, text: &str) -> Result<Self, Faults> {
        let file: Arc<str> = Arc::from(path.display().to_string());
        let document = Document::parse(text.to_owned()).map_err(|error| {
            Faults(vec![Fault {
                file: Arc::clone(&file),
                line: line_number(text, error.span()),
                key: String::new(),
                value: error.message().to_owned(),
                allowed: "TOML 1.0".to_owned(),
                code: ResultCode::SettingsSyntax,
            }])
        })?;
        Ok(Self {
            file,
            directory: path.parent().unwrap_or(Path::new("")).to_owned(),
            document,
            faults: RefCell::default(),
        })
    }

    /// Returns a reader of the top-level table.
    pub(crate) fn root(&self) -> TableReader<'_> {
        TableReader::new(self, self.document.as_table(), String::new(), None)
    }

    /// Returns `settings`, or all faults in ascending order of line if any was recorded.
    pub(crate) fn into_result<T>(self, settings: Option<T>) -> Result<T, Faults> {
        let mut faults = self.faults.into_inner();
        faults.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Faults(faults)),
        }
    }
}

impl<'a> TableReader<'a> {
    fn new(
        settings_file: &'a SettingsFile,
        table: &'a dyn TableLike,
        path: String,
        span: Option<Range<usize>>,
    ) -> Self {
        Self {
            settings_file,
            table,
            path,
            span,
            known_keys: RefCell::default(),
        }
    }

    /// Records a fault at `key`.
    pub(crate) fn record_fault(
        &self,
        key: &str,
        code: ResultCode,
        value: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        let span = self.table.get_key_value(key).and_then(|(name, item)| {
            // The key of an array of tables may have no span; then the span of the array is used.
            name.span().or_else(|| item.span())
        });
        let text = self.settings_file.document.raw();
        self.settings_file.faults.borrow_mut().push(Fault {
            file: Arc::clone(&self.settings_file.file),
            line: line_number(text, span.or_else(|| self.span.clone())),
            key: self.qualified_key(key),
            value: value.into(),
            allowed: allowed.into(),
            code,
        });
    }

    pub(crate) fn record_missing(&self, key: &str, allowed: impl Into<String>) {
        self.record_fault(key, ResultCode::SettingsMissingKey, "", allowed);
    }

    /// Records a fault for every key that was never read. Call it after all reads.
    pub(crate) fn record_unknown_keys(&self) {
        let known = self.known_keys.borrow();
        for (key, item) in self.table.iter() {
            if !known.contains(&key) {
                let allowed = format!("one of: {}", known.join(", "));
                self.record_fault(
                    key,
                    ResultCode::SettingsUnknownKey,
                    format_value(item),
                    allowed,
                );
            }
        }
    }

    /// Reads a required socket address. Port 0 makes the system choose a free port.
    pub(crate) fn address(&self, key: &'static str) -> Option<SocketAddr> {
        let text = self.required_string(key, ResultCode::SettingsBadAddress, ALLOWED_ADDRESS)?;
        self.parse_address(key, &text)
    }

    /// Reads an optional list of socket addresses. Invalid ones are recorded as faults and omitted.
    pub(crate) fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let Some(item) = self.get(key) else {
            return Vec::new();
        };
        let Some(array) = item.as_array() else {
            let allowed = format!("a list of {ALLOWED_ADDRESS}");
            self.record_fault(
                key,
                ResultCode::SettingsBadAddress,
                format_value(item),
                allowed,
            );
            return Vec::new();
        };
        array
            .iter()
            .filter_map(|value| match value.as_str() {
                Some(text) => self.parse_address(key, text),
                None => {
                    self.record_bad_address(key, value.to_string().trim());
                    None
                }
            })
            .collect()
    }

    /// Reads an integer within `range`. A missing key is a fault unless there is a `default`.
    pub(crate) fn number(
        &self,
        key: &'static str,
        range: RangeInclusive<i64>,
        default: Option<i64>,
    ) -> Option<i64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(item) = self.get(key) else {
            if default.is_none() {
                self.record_missing(key, allowed);
            }
            return default;
        };
        let number = item.as_integer().filter(|number| range.contains(number));
        if number.is_none() {
            self.record_fault(
                key,
                ResultCode::SettingsBadNumber,
                format_value(item),
                allowed,
            );
        }
        number
    }

    /// Reads a required name.
    pub(crate) fn name(&self, key: &'static str) -> Option<String> {
        let name = self.required_string(key, ResultCode::SettingsBadName, ALLOWED_NAME)?;
        let is_allowed = |byte: u8| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'.'
        };
        let has_valid_start = !name.starts_with(['-', '.']);
        let valid_length_bytes = 1..=MAX_NAME_BYTES;
        if valid_length_bytes.contains(&name.len())
            && name.bytes().all(is_allowed)
            && has_valid_start
        {
            return Some(name);
        }
        self.record_fault(key, ResultCode::SettingsBadName, name, ALLOWED_NAME);
        None
    }

    /// Reads the required path of a PEM file. A relative path is resolved against the directory of
    /// the settings file.
    pub(crate) fn path(&self, key: &'static str) -> Option<PathBuf> {
        let code = ResultCode::SettingsBadCertificate;
        let text = self.required_string(key, code, "the path of a PEM file")?;
        Some(self.settings_file.directory.join(text))
    }

    /// Reads the optional path of a key file, resolved like [`Self::path`].
    pub(crate) fn optional_path(&self, key: &'static str) -> Option<PathBuf> {
        let text = self.optional_string(key, ResultCode::SettingsBadKey)?;
        Some(self.settings_file.directory.join(text))
    }

    /// Reads an optional string. A value of another type is recorded under `code`.
    pub(crate) fn optional_string(&self, key: &'static str, code: ResultCode) -> Option<String> {
        let item = self.get(key)?;
        let text = item.as_str().map(str::to_owned);
        if text.is_none() {
            self.record_fault(key, code, format_value(item), "a string in quotes");
        }
        text
    }

    /// Reads a required string. A value of another type is recorded under `code`.
    pub(crate) fn required_string(
        &self,
        key: &'static str,
        code: ResultCode,
        allowed: &str,
    ) -> Option<String> {
        if self.get(key).is_none() {
            self.record_missing(key, allowed);
            return None;
        }
        self.optional_string(key, code)
    }

    /// Reads a required table.
    pub(crate) fn table(&self, key: &'static str) -> Option<TableReader<'a>> {
        let Some(item) = self.get(key) else {
            self.record_missing(key, format!("a [{key}] table"));
            return None;
        };
        let Some(table) = item.as_table_like() else {
            let allowed = format!("a [{key}] table");
            self.record_fault(
                key,
                ResultCode::SettingsMissingKey,
                format_value(item),
                allowed,
            );
            return None;
        };
        let path = self.qualified_key(key);
        Some(Self::new(self.settings_file, table, path, item.span()))
    }

    /// Reads an optional array of tables.
    pub(crate) fn tables(&self, key: &'static str) -> Vec<TableReader<'a>> {
        let Some(item) = self.get(key) else {
            return Vec::new();
        };
        let tables = array_of_tables(item);
        if tables.is_none() {
            let allowed = format!("a list of [[{key}]] tables");
            self.record_fault(
                key,
                ResultCode::SettingsMissingKey,
                format_value(item),
                allowed,
            );
        }
        let make_reader = |(index, (table, span))| {
            let path = format!("{}[{index}]", self.qualified_key(key));
            Self::new(self.settings_file, table, path, span)
        };
        let tables = tables.unwrap_or_default();
        tables.into_iter().enumerate().map(make_reader).collect()
    }

    fn get(&self, key: &'static str) -> Option<&'a Item> {
        self.known_keys.borrow_mut().push(key);
        self.table.get(key)
    }

    fn parse_address(&self, key: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse().ok();
        if address.is_none() {
            self.record_bad_address(key, text);
        }
        address
    }

    fn record_bad_address(&self, key: &str, value: &str) {
        self.record_fault(key, ResultCode::SettingsBadAddress, value, ALLOWED_ADDRESS);
    }

    fn qualified_key(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }
}

type SpannedTable<'a> = (&'a dyn TableLike, Option<Range<usize>>);

fn array_of_tables(item: &Item) -> Option<Vec<SpannedTable<'_>>> {
    if let Some(tables) = item.as_array_of_tables() {
        let spanned = tables
            .iter()
            .map(|table| (table as &dyn TableLike, table.span()));
        return Some(spanned.collect());
    }
    item.as_array()?.iter().map(inline_table).collect()
}

fn inline_table(value: &Value) -> Option<SpannedTable<'_>> {
    let table = value.as_inline_table()?;
    Some((table as &dyn TableLike, table.span()))
}

fn format_value(item: &Item) -> String {
    item.to_string().trim().to_owned()
}

fn line_number(text: &str, span: Option<Range<usize>>) -> usize {
    let Some(span) = span else {
        return 0;
    };
    let before = &text.as_bytes()[..span.start.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
