//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn new(path: &Path) -> std::io::Result<Recorder> {
        Ok(Recorder { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:>9.3} s  {}", ms as f64 / 1_000.0, text.as_ref());
    }

    /// As [`note`](Recorder::note), and also to the terminal.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}
