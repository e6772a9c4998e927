//! The record of a play.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start of the play.
#[derive(Clone)]
pub struct Recorder {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Recorder {
    pub fn new(path: &str) -> Recorder {
        let file = File::create(path).expect("a file for the record");
        Recorder { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").expect("space for the record");
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}
