//! A writer that never blocks its caller: lines wait in a bounded queue for a thread of their own.

use std::io;
use std::io::Write;
use std::iter;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::channel;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

/// Lines that may wait; about 200 KB at the usual length of a line.
const QUEUE_LINES: usize = 1_024;
/// Buffer that is kept between writes, in bytes.
const KEPT_BYTES: usize = 16 * 1_024;
const STACK_BYTES: usize = 64 * 1_024;

/// Lines that come within this time are written together: waking the thread and writing cost more
/// than a line itself.
const GATHER: Duration = Duration::from_millis(100);

/// What waits for the thread.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// All lines before this one are to be written at once, and this told.
    Flush(Sender<()>),
}

/// Passes lines to a thread that writes them. A line that finds the queue full is left out, and the
/// next lines that are written are preceded by the number of those left out.
#[derive(Debug)]
pub struct QueuedWriter {
    queue: SyncSender<Entry>,
    left_out: Arc<AtomicU64>,
}

/// Waits for lines to be written, as before the process ends.
#[derive(Debug, Clone)]
pub struct LogFlusher {
    queue: SyncSender<Entry>,
}

impl QueuedWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (queue, entries) = sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&left_out);
        thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_entries(&entries, &counter, output))?;
        Ok(Self { queue, left_out })
    }

    /// Returns what waits for this writer's lines.
    #[must_use]
    pub fn flusher(&self) -> LogFlusher {
        LogFlusher {
            queue: self.queue.clone(),
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(Entry::Line(line.to_vec())).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogFlusher {
    /// Waits until the lines so far are written, but not longer than `limit`: nobody may read the
    /// output. Returns whether they are.
    #[must_use]
    pub fn flush(&self, limit: Duration) -> bool {
        let (done, is_done) = channel();
        let is_queued = self.queue.try_send(Entry::Flush(done)).is_ok();
        is_queued && is_done.recv_timeout(limit).is_ok()
    }
}

fn write_entries(entries: &Receiver<Entry>, left_out: &AtomicU64, mut output: impl Write) {
    let mut lines = Vec::new();
    while let Ok(first) = entries.recv() {
        if matches!(first, Entry::Line(_)) {
            thread::sleep(GATHER);
        }
        let mut flushed = Vec::new();
        for entry in iter::once(first).chain(entries.try_iter()) {
            match entry {
                Entry::Line(line) => lines.extend_from_slice(&line),
                Entry::Flush(done) => flushed.push(done),
            }
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        // A closed output can't be reported anywhere; later lines may find it open again.
        if count > 0 {
            let _ = writeln!(output, "log: lines_left_out={count} reason=queue_full");
        }
        let _ = output.write_all(&lines);
        lines.clear();
        lines.shrink_to(KEPT_BYTES);
        for done in flushed {
            // Whoever waited may have given up.
            let _ = done.send(());
        }
    }
}
