//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A request that a backend began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub request: String,
    pub at: Instant,
    /// Length of the body that arrived with it.
    pub body_bytes: usize,
}

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = match File::create(path) {
            Ok(file) => Mutex::new(BufWriter::new(file)),
            Err(error) => crate::cannot_run(&format!("the record can't be written: {error}")),
        };
        Self { started: Instant::now(), file, runs: Mutex::default() }
    }

    pub fn note(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("a lock");
        let _ = writeln!(file, "{seconds:8.3} {text}");
        let _ = file.flush();
    }

    pub fn on_run(&self, server: &str, request: &str, body_bytes: usize) {
        let (server, request) = (server.to_owned(), request.to_owned());
        self.note(&format!("server {server} runs {request} with a body of {body_bytes} bytes"));
        let run = Run { server, request, at: Instant::now(), body_bytes };
        self.runs.lock().expect("a lock").push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("a lock").clone()
    }

    /// Writes the verdict, also to the standard output, and what is still buffered.
    pub fn finish(&self, verdict: &str) {
        self.note(verdict);
        let _ = self.file.lock().expect("a lock").flush();
        println!("{verdict}");
    }
}
