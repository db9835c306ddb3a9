//! Prints the timeline of a recovery from log files.

use std::fs;
use std::path::Path;

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use jiff::Timestamp;

use crate::LogLine;
use crate::recovery_timeline;
use crate::render_timeline;
use crate::timeline_to_json;

/// Returns the timeline of a recovery as a table or as indented JSON.
///
/// # Errors
///
/// Returns [`ResultCode::LogUnreadable`] if a file can't be read, or the errors of
/// [`recovery_timeline`].
pub fn timeline_of_files<'a>(
    paths: impl Iterator<Item = &'a Path>,
    from: Option<Timestamp>,
    is_json: bool,
) -> Result<String> {
    let files: Vec<(String, String)> = paths.map(read).collect::<Result<_>>()?;
    let lines: Vec<LogLine<'_>> = files
        .iter()
        .flat_map(|(file, text)| text.lines().map(move |text| LogLine { file, text }))
        .collect();
    let timeline = recovery_timeline(&lines, from)?;
    Ok(match is_json {
        true => format!("{:#}\n", timeline_to_json(&timeline)),
        false => render_timeline(&timeline),
    })
}

/// Reads a file. The end of a process can cut a line within a character, so that the text may be
/// invalid there.
fn read(path: &Path) -> Result<(String, String)> {
    let name = path.display().to_string();
    let content = fs::read(path)
        .map_err(|source| Error::io(ResultCode::LogUnreadable, name.clone(), source))?;
    Ok((name, String::from_utf8_lossy(&content).into_owned()))
}
