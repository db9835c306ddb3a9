//! Logging never blocks the process.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use fes_telemetry::QueuedWriter;

const LINES: usize = 10_000;

/// An output whose first write blocks until the test resumes it.
struct StalledOutput {
    resume: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
    done: Sender<()>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.resume.recv().expect("resumed by the test");
            self.is_open = true;
        }
        let mut written = self.written.lock().expect("not poisoned");
        written.extend_from_slice(bytes);
        if written.ends_with(b"last\n") {
            self.done.send(()).expect("test waits");
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Fails if logging blocks the process, or if its memory grows, while nothing reads the output.
#[test]
fn a_stalled_output_neither_blocks_nor_fills_memory() {
    let (resume, resumed) = channel();
    let (done, is_done) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StalledOutput {
        resume: resumed,
        is_open: false,
        written: Arc::clone(&written),
        done,
    };
    let mut writer = QueuedWriter::start(output).expect("thread");

    for _ in 0..LINES {
        writer.write_all(b"line\n").expect("accepted");
    }
    resume.send(()).expect("output waits");
    while is_done.try_recv().is_err() {
        writer.write_all(b"last\n").expect("accepted");
        std::thread::yield_now();
    }

    let text = String::from_utf8(written.lock().expect("not poisoned").clone()).expect("text");
    assert!(text.matches("line\n").count() < LINES / 2);
    assert!(text.contains("lines_left_out="));
}

/// An output that records the size of each write.
struct CountingOutput {
    writes: Arc<Mutex<Vec<usize>>>,
}

impl Write for CountingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writes.lock().expect("not poisoned").push(bytes.len());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Fails if every line is written separately, or if the last lines before the end of the process
/// are lost.
#[test]
fn lines_are_written_in_batches_and_before_a_flush_returns() {
    let writes = Arc::new(Mutex::new(Vec::new()));
    let output = CountingOutput {
        writes: Arc::clone(&writes),
    };
    let mut writer = QueuedWriter::start(output).expect("thread");

    for _ in 0..100 {
        writer.write_all(b"line\n").expect("accepted");
    }
    let is_flushed = writer.flusher().flush(Duration::from_secs(10));

    let writes = writes.lock().expect("not poisoned");
    assert!(is_flushed);
    assert_eq!(writes.iter().sum::<usize>(), 500);
    assert!(writes.len() <= 10, "{} writes", writes.len());
}

/// Fails if a flush never returns while nothing reads the output, so that the process can't end.
#[test]
fn a_flush_of_a_stalled_output_times_out() {
    let (_resume, resumed) = channel();
    let (done, _is_done) = channel();
    let output = StalledOutput {
        resume: resumed,
        is_open: false,
        written: Arc::default(),
        done,
    };
    let mut writer = QueuedWriter::start(output).expect("thread");
    writer.write_all(b"line\n").expect("accepted");

    assert!(!writer.flusher().flush(Duration::from_millis(100)));
}
