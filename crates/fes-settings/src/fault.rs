//! Faults of a settings file.

use std::fmt;
use std::sync::Arc;

use fes_protocol::Error;
use fes_protocol::ResultCode;
use serde::Serialize;
use serde::Serializer;

/// Exit status of a program whose settings are invalid.
pub const INVALID_SETTINGS_EXIT_STATUS: u8 = 2;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The settings file.
    pub file: Arc<str>,
    /// Line number, starting at 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// Dotted path of the key, such as `listen[1].address`.
    pub key: String,
    /// The value found, with secrets redacted; empty if the value is missing.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Result code.
    #[serde(serialize_with = "serialize_code")]
    pub code: ResultCode,
}

/// All faults of a settings file, in ascending order of line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}:{}: {}", self.file, self.line, self.code)?;
        if !self.key.is_empty() {
            writeln!(f, "  key:     {}", self.key)?;
        }
        if !self.value.is_empty() {
            writeln!(f, "  value:   {}", self.value)?;
        }
        writeln!(f, "  allowed: {}", self.allowed)?;
        write!(f, "  help:    {}", self.code.help())
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

impl From<Faults> for Error {
    fn from(faults: Faults) -> Self {
        let code = faults
            .0
            .first()
            .map_or(ResultCode::SettingsUnreadable, |fault| fault.code);
        Self::coded(code, faults.to_string())
    }
}

fn serialize_code<S: Serializer>(code: &ResultCode, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&format_args!("F{:04}", code.number()))
}
