//! Log lines never block the process that writes them.

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

/// An output that takes nothing until it is told to.
struct StalledOutput {
    go_on: Receiver<()>,
    is_open: bool,
    written: Arc<Mutex<Vec<u8>>>,
    done: Sender<()>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.go_on.recv().expect("told to go on");
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

/// Guards against a process that stands still or grows because nobody reads its output.
#[test]
fn a_stalled_reader_neither_blocks_nor_fills_memory() {
    let (go_on, may_go_on) = channel();
    let (done, is_done) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StalledOutput {
        go_on: may_go_on,
        is_open: false,
        written: Arc::clone(&written),
        done,
    };
    let mut writer = QueuedWriter::start(output).expect("thread");

    for _ in 0..LINES {
        writer.write_all(b"line\n").expect("accepted");
    }
    go_on.send(()).expect("output waits");
    while is_done.try_recv().is_err() {
        writer.write_all(b"last\n").expect("accepted");
        std::thread::yield_now();
    }

    let text = String::from_utf8(written.lock().expect("not poisoned").clone()).expect("text");
    assert!(text.matches("line\n").count() < LINES / 2);
    assert!(text.contains("lines_left_out="));
}

/// Counts how often it is written to.
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

/// Guards against a wake-up and a write for each line, and against last lines that are lost when
/// the process ends.
#[test]
fn lines_are_written_together_and_before_a_flush_ends() {
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

/// Guards against a process that can't end because nobody reads its output.
#[test]
fn a_flush_gives_up_on_a_stalled_reader() {
    let (_go_on, may_go_on) = channel();
    let (done, _is_done) = channel();
    let output = StalledOutput {
        go_on: may_go_on,
        is_open: false,
        written: Arc::default(),
        done,
    };
    let mut writer = QueuedWriter::start(output).expect("thread");
    writer.write_all(b"line\n").expect("accepted");

    assert!(!writer.flusher().flush(Duration::from_millis(100)));
}
