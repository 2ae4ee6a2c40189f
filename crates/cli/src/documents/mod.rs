//! Reads configuration documents from files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use displaydoc::Display;
use samphirespread_config::{Config, ConfigErrors, Document, parse_documents};

/// Reason why documents could not be loaded from files.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum LoadError {
    /// {path}: {error}
    File {
        /// The file or directory.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// {path} has no file that ends in .json
    EmptyDirectory {
        /// The directory.
        path: String,
    },
    /// {0}
    Documents(ConfigErrors),
}

impl std::error::Error for LoadError {}

/// Reads the documents of files and of the `.json` files in directories.
///
/// # Errors
///
/// See [`LoadError`]. The error lists all faults of the first faulty file; later files are not
/// read.
pub fn load(paths: &[PathBuf]) -> Result<Vec<Document>, LoadError> {
    let mut documents = Vec::new();
    for path in paths {
        for file in document_files(path)? {
            let text = fs::read_to_string(&file).map_err(|error| file_error(&file, error))?;
            let origin = file.display().to_string();
            documents.extend(parse_documents(&origin, &text).map_err(LoadError::Documents)?);
        }
    }
    Config::from_documents(documents.clone()).check_unique().map_err(LoadError::Documents)?;
    Ok(documents)
}

fn document_files(path: &Path) -> Result<Vec<PathBuf>, LoadError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(|error| file_error(path, error))? {
        let file = entry.map_err(|error| file_error(path, error))?.path();
        if file.extension().is_some_and(|extension| extension == "json") {
            files.push(file);
        }
    }
    if files.is_empty() {
        return Err(LoadError::EmptyDirectory { path: path.display().to_string() });
    }
    files.sort();
    Ok(files)
}

fn file_error(path: &Path, error: io::Error) -> LoadError {
    LoadError::File { path: path.display().to_string(), error }
}
