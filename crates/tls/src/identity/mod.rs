//! Reads a certificate chain and its key from files.

use std::{fs, path::Path, sync::Arc};

use rustls::{crypto::ring, sign::CertifiedKey};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use samphirespread_settings::TlsSettings;

use crate::error::TlsError;

/// Holds the bytes of both files, so that a change can be detected.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct CertificateFiles {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl CertificateFiles {
    pub(crate) fn read(settings: &TlsSettings) -> Result<Self, TlsError> {
        Ok(Self { certificate: read_file(&settings.certificate)?, key: read_file(&settings.key)? })
    }

    /// Parses the files and checks that the key belongs to the certificate.
    pub(crate) fn parse(&self, settings: &TlsSettings) -> Result<Arc<CertifiedKey>, TlsError> {
        let key_file = settings.key.display().to_string();
        let key_error = |message: String| TlsError::Key { file: key_file.clone(), message };
        let chain = parse_chain(&self.certificate, &settings.certificate)?;
        let key = PrivateKeyDer::from_pem_slice(&self.key)
            .map_err(|error| key_error(error.to_string()))?;
        let key =
            ring::sign::any_supported_type(&key).map_err(|error| key_error(error.to_string()))?;
        let certified_key = CertifiedKey::new(chain, key);
        certified_key.keys_match().map_err(|_| TlsError::Mismatch {
            certificate: settings.certificate.display().to_string(),
            key: key_file.clone(),
        })?;
        Ok(Arc::new(certified_key))
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, TlsError> {
    fs::read(path).map_err(|error| TlsError::Read {
        file: path.display().to_string(),
        message: error.to_string(),
    })
}

fn parse_chain(pem: &[u8], path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificate_error = |message: String| {
        let file = path.display().to_string();
        TlsError::Certificate { file, message }
    };
    let chain = CertificateDer::pem_slice_iter(pem).collect::<Result<Vec<_>, _>>();
    let chain = chain.map_err(|error| certificate_error(error.to_string()))?;
    if chain.is_empty() {
        return Err(certificate_error("no section found".to_owned()));
    }
    Ok(chain)
}
