//! Provides test directories, processes and stand-ins for the tests.

use std::{
    fs,
    path::PathBuf,
    process::{self, Output},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use samphirespread_config::HEAD_OBJECT;
use samphirespread_core::prelude::*;
use samphirespread_platform::{
    Platform, PlatformError, StorePlatform,
    api::{Listing, LiveInstance, LiveList, LiveState, Object, ObjectVersion, Role},
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines},
    net::{TcpListener, TcpStream},
    process::{Child, ChildStdout},
    task::JoinHandle,
};

pub(crate) struct CommandOutput {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

fn command_output(output: Output) -> CommandOutput {
    CommandOutput {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

pub(crate) fn run_blocking(arguments: &[&str]) -> CommandOutput {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_samphirespread"));
    command_output(command.args(arguments).output().unwrap())
}

pub(crate) async fn run(arguments: &[&str]) -> CommandOutput {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_samphirespread"));
    command_output(command.args(arguments).kill_on_drop(true).output().await.unwrap())
}

/// A directory for one test, which is removed on drop.
pub(crate) struct TestDir(PathBuf);

impl TestDir {
    pub(crate) fn new(name: &str) -> Self {
        let path =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }

    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A stand-in of an admin port that answers every request with the same dump.
pub(crate) struct Admin {
    address: String,
    task: JoinHandle<()>,
}

impl Admin {
    pub(crate) async fn start(dump: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let task = tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length:";
                let answer = format!("{head} {}\r\n\r\n{dump}", dump.len());
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        Self { address, task }
    }

    pub(crate) fn address(&self) -> String {
        self.address.clone()
    }

    pub(crate) fn instance(&self, name: &str) -> LiveInstance {
        LiveInstance { admin: Some(self.address()), ..unknown_instance(name) }
    }
}

impl Drop for Admin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) fn unknown_instance(name: &str) -> LiveInstance {
    LiveInstance {
        name: InstanceName::new(name),
        role: Role::Router,
        address: "127.0.0.1:1".to_owned(),
        admin: None,
        region: "khomas".to_owned(),
        failure_domain: "khomas-1".to_owned(),
        set: None,
        state: LiveState::Live,
    }
}

/// A platform that loses the answer to the first update of the head and every answer after it.
#[derive(Clone)]
pub(crate) struct LosingPlatform {
    platform: StorePlatform,
    answers_lost: Arc<AtomicBool>,
}

impl LosingPlatform {
    pub(crate) fn new(platform: StorePlatform) -> Self {
        Self { platform, answers_lost: Arc::default() }
    }

    fn check(&self) -> Result<(), PlatformError> {
        if self.answers_lost.load(Ordering::SeqCst) {
            return Err(PlatformError::Lost { message: "gone".to_owned() });
        }
        Ok(())
    }
}

impl Platform for LosingPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.check()?;
        self.platform.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        self.check()?;
        self.platform.list(prefix).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> Result<ObjectVersion, PlatformError> {
        self.check()?;
        let written = self.platform.put_if(key, expected, value).await;
        self.answers_lost.fetch_or(key == HEAD_OBJECT, Ordering::SeqCst);
        self.check()?;
        written
    }

    async fn create(&self, key: &str, value: &str) -> Result<ObjectVersion, PlatformError> {
        self.check()?;
        self.platform.create(key, value).await
    }

    async fn delete_if(&self, key: &str, expected: ObjectVersion) -> Result<(), PlatformError> {
        self.check()?;
        self.platform.delete_if(key, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait_ms: u64,
    ) -> Result<Listing, PlatformError> {
        self.check()?;
        self.platform.watch(prefix, after, wait_ms).await
    }

    async fn instances(
        &self,
        after: Option<ObjectVersion>,
    ) -> Result<Option<LiveList>, PlatformError> {
        self.check()?;
        self.platform.instances(after).await
    }
}

/// A running process of `samphirespread dev`.
pub(crate) struct Dev {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl Dev {
    pub(crate) async fn start() -> Self {
        let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_samphirespread"));
        command.args(["dev", "--port", "0"]).kill_on_drop(true).stdout(process::Stdio::piped());
        let mut child = command.spawn().unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        Self { child, lines }
    }

    pub(crate) async fn next_line(&mut self) -> String {
        self.lines.next_line().await.unwrap().expect("another line of output")
    }

    /// Sends SIGTERM and returns the exit code.
    pub(crate) async fn terminate(mut self) -> Option<i32> {
        let id = self.child.id().unwrap().to_string();
        let killed = tokio::process::Command::new("kill").args(["-TERM", &id]).status().await;
        assert!(killed.unwrap().success());
        self.child.wait().await.unwrap().code()
    }
}

/// Sends the request of a printed curl command, so that the test does not need curl.
pub(crate) async fn send(curl: &str) -> String {
    let url = curl.split(' ').find(|word| word.starts_with("http://")).unwrap();
    let (address, path) = url["http://".len()..].split_once('/').unwrap();
    let quoted: Vec<&str> = curl.split('\'').skip(1).step_by(2).collect();
    let (headers, body) = (&quoted[..quoted.len() - 1], quoted[quoted.len() - 1]);
    let request = format!(
        "POST /{path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n{}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        headers.join("\r\n"),
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}
