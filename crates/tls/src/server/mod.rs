//! The server side of TLS connections.

use std::{fmt, io, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use rustls::{
    ServerConfig,
    crypto::ring,
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use samphirespread_settings::TlsSettings;
use slog::{Logger, error, info};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_rustls::{TlsAcceptor, server::TlsStream};
use tokio_util::sync::CancellationToken;

use crate::{error::TlsError, identity::CertificateFiles};

const DEFAULT_HANDSHAKE_TIMEOUT_MS: u64 = 10_000;
const ALPN_PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// Accepts TLS connections as a server. Clones share the certificate.
#[derive(Clone)]
pub struct ServerTls {
    settings: Arc<TlsSettings>,
    certificate: Arc<CurrentCertificate>,
    acceptor: TlsAcceptor,
    handshake_timeout_ms: u64,
}

/// Holds the certificate in force, which new connections get.
#[derive(Debug)]
struct CurrentCertificate(ArcSwap<CertifiedKey>);

impl ResolvesServerCert for CurrentCertificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.load_full())
    }
}

impl ServerTls {
    /// Reads the certificate and its key.
    ///
    /// # Errors
    ///
    /// Returns a [`TlsError`] that names the file that can't be used.
    ///
    /// # Panics
    ///
    /// Never panics, because the cryptography provider supports the default protocol versions.
    pub fn load(settings: TlsSettings) -> Result<Self, TlsError> {
        let certified = CertificateFiles::read(&settings)?.parse(&settings)?;
        let certificate = Arc::new(CurrentCertificate(ArcSwap::new(certified)));
        let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .expect("the provider supports the default versions")
            .with_no_client_auth()
            .with_cert_resolver(Arc::clone(&certificate) as Arc<dyn ResolvesServerCert>);
        config.alpn_protocols = ALPN_PROTOCOLS.map(<[u8]>::to_vec).to_vec();
        Ok(Self {
            settings: Arc::new(settings),
            certificate,
            acceptor: TlsAcceptor::from(Arc::new(config)),
            handshake_timeout_ms: DEFAULT_HANDSHAKE_TIMEOUT_MS,
        })
    }

    /// Sets the time after which a connection whose handshake has not finished is dropped.
    #[must_use]
    pub fn handshake_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.handshake_timeout_ms = timeout_ms;
        self
    }

    /// Performs the TLS handshake on a connection.
    ///
    /// # Errors
    ///
    /// Fails if the handshake fails or exceeds its timeout.
    pub async fn accept<S>(&self, stream: S) -> io::Result<TlsStream<S>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let limit = Duration::from_millis(self.handshake_timeout_ms);
        timeout(limit, self.acceptor.accept(stream)).await?
    }

    /// Checks the files at an interval until `shutdown` is cancelled, and puts each new valid
    /// certificate in force.
    pub async fn reread(self, log: Logger, shutdown: CancellationToken) {
        let mut last_files = None;
        let mut logged_error = None;
        let mut ticks = interval(Duration::from_millis(self.settings.reread_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let files = CertificateFiles::read(&self.settings);
            if last_files.as_ref() == Some(&files) {
                continue;
            }
            let result = self.replace_certificate(&files);
            last_files = Some(files);
            match result {
                Ok(()) => {
                    info!(log, "certificate in force"; "file" => %self.settings.certificate.display());
                    logged_error = None;
                }
                Err(error) if logged_error.as_ref() != Some(&error) => {
                    error!(log, "certificate not re-read"; "error" => %error);
                    logged_error = Some(error);
                }
                Err(_) => {}
            }
        }
    }

    /// Parses the files and puts their certificate in force.
    fn replace_certificate(
        &self,
        files: &Result<CertificateFiles, TlsError>,
    ) -> Result<(), TlsError> {
        let files = files.as_ref().map_err(Clone::clone)?;
        self.certificate.0.store(files.parse(&self.settings)?);
        Ok(())
    }
}

impl fmt::Debug for ServerTls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServerTls").field("settings", &self.settings).finish_non_exhaustive()
    }
}
