//! TLS towards callers, with certificates that are re-read on change.
//!
//! ```no_run
//! use samphirespread_settings::TlsSettings;
//! use samphirespread_tls::ServerTls;
//! use tokio_util::sync::CancellationToken;
//!
//! # async fn example(settings: TlsSettings, log: slog::Logger) -> Result<(), Box<dyn std::error::Error>> {
//! let tls = ServerTls::load(settings)?;
//! tokio::spawn(tls.clone().reread(log, CancellationToken::new()));
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let (socket, _) = listener.accept().await?;
//! let stream = tls.accept(socket).await?;
//! # drop(stream);
//! # Ok(())
//! # }
//! ```
//!
//! New connections get the certificate that was read last. Open connections keep theirs, so
//! that a new certificate cuts nothing. Files that can't be used leave the certificate in force as it is;
//! each fault is logged once, with the name of the file.
//!
//! # Costs
//!
//! A re-read reads both files, and parses them only if a byte has changed. Picking the
//! certificate for a connection takes no lock.
//!
//! # Limits
//!
//! One certificate serves all names. Clients are not asked for a certificate.

mod error;
mod identity;
mod server;

pub use crate::{error::TlsError, server::ServerTls};
