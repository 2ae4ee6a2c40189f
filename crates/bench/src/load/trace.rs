//! Recorded requests as JSON lines, in the form that routers record.

use std::{fs, io::Write, path::Path};

use serde::{Deserialize, Serialize};

use super::LoadError;

/// One request of a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceRecord {
    /// Milliseconds since the load began.
    pub at_ms: u64,
    /// The team.
    pub team: String,
    /// The model.
    pub model: String,
    /// The keys of the prompt's blocks, which tell shared prefixes.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens asked for at most.
    pub max_output_tokens: u32,
}

/// Reads a trace, in the order of its times.
///
/// # Errors
///
/// [`LoadError::Trace`] when the file can't be read or a line can't be decoded.
pub fn read_trace(path: &Path) -> Result<Vec<TraceRecord>, LoadError> {
    let failed = |message: String| LoadError::Trace { path: path.display().to_string(), message };
    let text = fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let record: TraceRecord = serde_json::from_str(line)
            .map_err(|error| failed(format!("line {}: {error}", index + 1)))?;
        records.push(record);
    }
    records.sort_by_key(|record| record.at_ms);
    Ok(records)
}

/// Writes a trace.
///
/// # Errors
///
/// [`LoadError::Trace`] when the file can't be written.
pub fn write_trace(path: &Path, records: &[TraceRecord]) -> Result<(), LoadError> {
    let failed = |message: String| LoadError::Trace { path: path.display().to_string(), message };
    let file = fs::File::create(path).map_err(|error| failed(error.to_string()))?;
    let mut file = std::io::BufWriter::new(file);
    for record in records {
        let line = serde_json::to_string(record).map_err(|error| failed(error.to_string()))?;
        writeln!(file, "{line}").map_err(|error| failed(error.to_string()))?;
    }
    file.flush().map_err(|error| failed(error.to_string()))
}
