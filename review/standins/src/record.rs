//! What was sent, answered and run, in the order in which it happened.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { began: Instant::now(), file })
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        // The result of the case does not depend on its record.
        let _ = writeln!(file, "{:>7} ms  {text}", self.now_ms());
        let _ = file.flush();
    }
}
