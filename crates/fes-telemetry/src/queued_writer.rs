//! Non-blocking writer: a bounded queue that a background thread writes to the output.

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

/// Capacity of the queue; about 200 KB at the usual line length.
const QUEUE_LINES: usize = 1_024;
/// Buffer capacity that is kept between writes, in bytes.
const RETAINED_BUFFER_BYTES: usize = 16 * 1_024;
const STACK_BYTES: usize = 64 * 1_024;

/// Lines that arrive within this time are written together, because waking the thread and writing
/// cost more than the line itself.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Item of the queue.
#[derive(Debug)]
enum QueueItem {
    Line(Vec<u8>),
    /// Request to write all earlier lines and to notify the sender when that is done.
    Flush(Sender<()>),
}

/// Queues lines for a background thread that writes them. A line is dropped if the queue is full;
/// the number of dropped lines is written before the next batch.
#[derive(Debug)]
pub struct QueuedWriter {
    queue: SyncSender<QueueItem>,
    dropped_lines: Arc<AtomicU64>,
}

/// Handle that flushes the queue of a [`QueuedWriter`].
#[derive(Debug, Clone)]
pub struct LogFlusher {
    queue: SyncSender<QueueItem>,
}

impl QueuedWriter {
    /// Starts a background thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (queue, items) = sync_channel(QUEUE_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped_lines);
        thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_queue(&items, &counter, output))?;
        Ok(Self {
            queue,
            dropped_lines,
        })
    }

    /// Returns a handle that flushes the queue of this writer.
    #[must_use]
    pub fn flusher(&self) -> LogFlusher {
        LogFlusher {
            queue: self.queue.clone(),
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(QueueItem::Line(line.to_vec())).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogFlusher {
    /// Waits until all lines queued so far are written, at most for `timeout`, because the output
    /// blocks if nothing reads it. Returns whether they were written.
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        let (done, is_done) = channel();
        let is_queued = self.queue.try_send(QueueItem::Flush(done)).is_ok();
        is_queued && is_done.recv_timeout(timeout).is_ok()
    }
}

fn write_queue(items: &Receiver<QueueItem>, dropped_lines: &AtomicU64, mut output: impl Write) {
    let mut lines = Vec::new();
    while let Ok(first) = items.recv() {
        if matches!(first, QueueItem::Line(_)) {
            thread::sleep(BATCH_DELAY);
        }
        let mut flush_requests = Vec::new();
        for item in iter::once(first).chain(items.try_iter()) {
            match item {
                QueueItem::Line(line) => lines.extend_from_slice(&line),
                QueueItem::Flush(done) => flush_requests.push(done),
            }
        }
        let dropped = dropped_lines.swap(0, Ordering::Relaxed);
        // Write errors are ignored: the log is the only place to report them, and a later write may
        // succeed.
        if dropped > 0 {
            let _ = writeln!(output, "log: lines_left_out={dropped} reason=queue_full");
        }
        let _ = output.write_all(&lines);
        lines.clear();
        lines.shrink_to(RETAINED_BUFFER_BYTES);
        for done in flush_requests {
            // Sending fails if the waiting thread timed out.
            let _ = done.send(());
        }
    }
}
