//! Log records grouped by process.

use fes_protocol::FastMap;

use crate::log_line::LogLine;
use crate::log_line::field;
use crate::timeline::Role;
use crate::timeline::log_record::LogRecord;

/// Records of a process in the order in which it wrote them.
#[derive(Debug)]
pub(super) struct ProcessLog<'a> {
    pub(super) name: &'a str,
    pub(super) records: Vec<LogRecord<'a>>,
}

impl<'a> ProcessLog<'a> {
    /// Returns the role, or `None` if the log has no start of the process.
    pub(super) fn role(&self) -> Option<Role> {
        let mut roles = self.starts().filter_map(|start| start.field("role"));
        roles.next().and_then(Role::from_name)
    }

    pub(super) fn starts(&self) -> impl Iterator<Item = &LogRecord<'a>> {
        self.records.iter().filter(|record| record.is_start())
    }

    /// Returns whether the records are of several VMs, because lines of several processes were
    /// written to a file without their names.
    pub(super) fn has_several_vms(&self) -> bool {
        let mut vms = self.starts().filter_map(|start| start.field("vm"));
        let first = vms.next();
        vms.any(|vm| Some(vm) != first)
    }
}

/// Records of all processes.
#[derive(Debug, Default)]
pub(super) struct Logs<'a> {
    pub(super) processes: Vec<ProcessLog<'a>>,
    pub(super) unreadable_lines: usize,
    /// Lines that processes left out because their output stalled. The lines that report them have
    /// no time.
    pub(super) left_out_lines: u64,
}

impl<'a> Logs<'a> {
    /// Decodes the lines and groups them by process. The order within a file is kept, because the
    /// clock of a process may be set back.
    pub(super) fn decode(lines: &[LogLine<'a>]) -> Self {
        let mut logs = Self::default();
        let mut files: FastMap<&str, Vec<LogRecord<'a>>> = FastMap::default();
        for line in lines.iter().filter(|line| !line.text.trim().is_empty()) {
            if let Some(record) = LogRecord::decode(*line) {
                files.entry(line.file).or_default().push(record);
            } else if let Some(count) = field(line.text, "lines_left_out") {
                logs.left_out_lines += count.parse().unwrap_or(0);
            } else {
                logs.unreadable_lines += 1;
            }
        }
        let mut files: Vec<(&str, Vec<LogRecord<'a>>)> = files.into_iter().collect();
        // Puts the parts of a rotated log into order.
        files.sort_by_key(|(file, records)| (records.first().map(|record| record.at_ms), *file));
        let records = files.into_iter().flat_map(|(_, records)| records);
        logs.processes = group_by_process(records);
        logs
    }
}

fn group_by_process<'a>(records: impl Iterator<Item = LogRecord<'a>>) -> Vec<ProcessLog<'a>> {
    let mut processes: Vec<ProcessLog<'a>> = Vec::new();
    let mut index_of: FastMap<&str, usize> = FastMap::default();
    for record in records {
        let index = *index_of.entry(record.process).or_insert_with(|| {
            processes.push(ProcessLog {
                name: record.process,
                records: Vec::new(),
            });
            processes.len() - 1
        });
        processes[index].records.push(record);
    }
    processes
}
