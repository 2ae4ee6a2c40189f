//! A certificate chain and its key, from files.

use std::{fs, path::Path, sync::Arc};

use rustls::{crypto::ring, sign::CertifiedKey};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use samphirespread_settings::TlsSettings;

use crate::error::TlsError;

/// The bytes of both files, for telling whether they have changed.
#[derive(Clone, PartialEq, Eq)]
pub(crate) struct Files {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl Files {
    pub(crate) fn read(settings: &TlsSettings) -> Result<Self, TlsError> {
        Ok(Self { certificate: read(&settings.certificate)?, key: read(&settings.key)? })
    }

    /// Parses the files and checks that the key belongs to the certificate.
    pub(crate) fn parse(&self, settings: &TlsSettings) -> Result<Arc<CertifiedKey>, TlsError> {
        let key_file = settings.key.display().to_string();
        let unusable = |message: String| TlsError::Key { file: key_file.clone(), message };
        let chain = chain(&self.certificate, &settings.certificate)?;
        let key = PrivateKeyDer::from_pem_slice(&self.key)
            .map_err(|error| unusable(error.to_string()))?;
        let key =
            ring::sign::any_supported_type(&key).map_err(|error| unusable(error.to_string()))?;
        let identity = CertifiedKey::new(chain, key);
        identity.keys_match().map_err(|_| TlsError::Mismatch {
            certificate: settings.certificate.display().to_string(),
            key: key_file.clone(),
        })?;
        Ok(Arc::new(identity))
    }
}

fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
    fs::read(path).map_err(|error| TlsError::Read {
        file: path.display().to_string(),
        message: error.to_string(),
    })
}

fn chain(pem: &[u8], path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let unusable = |message: String| {
        let file = path.display().to_string();
        TlsError::Certificate { file, message }
    };
    let chain = CertificateDer::pem_slice_iter(pem).collect::<Result<Vec<_>, _>>();
    let chain = chain.map_err(|error| unusable(error.to_string()))?;
    if chain.is_empty() {
        return Err(unusable("no section found".to_owned()));
    }
    Ok(chain)
}
