//! The record of a run: what was sent, answered and run, with times since the start.

use std::{
    fs::File,
    io::Write,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { begun: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.begun).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} s  {text}");
    }

    /// Writes a line of the summary, which is printed as well.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A folder for settings and logs, which is removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(case: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self(folder)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
