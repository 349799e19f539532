//! Test environment with a folder, a platform stand-in and the real program.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;

use testutils::platform::PlatformStandIn;

/// Exit code and output of the program. Ids that differ between runs are replaced.
pub struct CommandOutput {
    pub exit: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Returns exit code and output as one text for snapshots.
    pub fn text(&self) -> String {
        let exit = self.exit.unwrap_or(-1);
        format!("exit {exit}\n{}{}", self.stdout, self.stderr)
    }
}

/// A folder for the files of a test and a platform stand-in.
pub struct TestEnvironment {
    pub platform: PlatformStandIn,
    folder: PathBuf,
}

impl TestEnvironment {
    /// Starts a platform stand-in and creates an empty folder for the test `name`.
    pub async fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let platform = PlatformStandIn::start_local().await.unwrap();
        Self { platform, folder }
    }

    /// Writes a file in a sub-folder and returns the sub-folder.
    pub fn write(&self, folder: &str, file: &str, text: &str) -> String {
        let folder = self.folder.join(folder);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join(file), text).unwrap();
        folder.to_str().unwrap().to_owned()
    }

    /// Runs the program with the platform's address.
    pub async fn run(&self, args: &[&str]) -> CommandOutput {
        let platform = self.platform.address().to_string();
        let mut all = vec!["--platform", &platform, "--timeout-ms", "60000"];
        all.extend(args);
        run(&all).await
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        let calls = self.platform.status().calls;
        println!("calls to the platform: {calls:?}");
    }
}

/// Runs the program with an empty environment.
pub async fn run(args: &[&str]) -> CommandOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamfold"));
    command.args(args).env_clear().stdin(Stdio::null());
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.unwrap().unwrap();
    CommandOutput {
        exit: output.status.code(),
        stdout: replace_change_ids(&String::from_utf8(output.stdout).unwrap()),
        stderr: replace_change_ids(&String::from_utf8(output.stderr).unwrap()),
    }
}

/// Replaces change ids by `ID`.
fn replace_change_ids(text: &str) -> String {
    let is_id = |word: &str| word.len() == 36 && word.matches('-').count() == 4;
    let mut result = text.to_owned();
    let words = text.split(|c: char| !c.is_ascii_hexdigit() && c != '-');
    for id in words.filter(|word| is_id(word)) {
        result = result.replace(id, "ID");
    }
    result
}

/// Returns a folder text with one zone and one organisation.
pub fn acme_folder(rate_per_s: u32) -> String {
    format!(
        "[zone.bello]\nregion = 'antioquia'\n\
         [organisation.acme]\nrate_per_s = {rate_per_s}\nburst_tokens = 5\n"
    )
}
