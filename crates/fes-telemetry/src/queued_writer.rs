//! A writer that never blocks its caller: lines wait in a bounded queue for a thread of their own.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

/// Lines that may wait; about 200 KB at the usual length of a line.
const QUEUE_LINES: usize = 1_024;
const STACK_BYTES: usize = 64 * 1_024;

/// Passes lines to a thread that writes them. A line that finds the queue full is left out, and the
/// next line that is written is preceded by the number of those left out.
#[derive(Debug)]
pub struct QueuedWriter {
    queue: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl QueuedWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&left_out);
        thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&lines, &counter, output))?;
        Ok(Self { queue, left_out })
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(line.to_vec()).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, left_out: &AtomicU64, mut output: impl Write) {
    while let Ok(line) = lines.recv() {
        let count = left_out.swap(0, Ordering::Relaxed);
        // A closed output can't be reported anywhere; later lines may find it open again.
        if count > 0 {
            let _ = writeln!(output, "log: lines_left_out={count} reason=queue_full");
        }
        let _ = output.write_all(&line);
    }
}
