//! A temporary folder in which a test runs `xtask`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A folder with files that is removed when it is dropped.
pub(crate) struct Folder(PathBuf);

impl Folder {
    /// Creates a folder with these files, given as pairs of path and text.
    pub(crate) fn new(files: &[(&str, &str)]) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("files-{}-{number}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        for (file, text) in files {
            let path = folder.join(file);
            fs::create_dir_all(path.parent().expect("the path has a parent"))
                .expect("the folder can be created");
            fs::write(path, text).expect("the file can be written");
        }
        Folder(folder)
    }

    /// Runs `xtask` in the folder. Returns whether it succeeds, and its standard output.
    pub(crate) fn run_xtask(&self, arguments: &[&str]) -> (bool, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
            .args(arguments)
            .current_dir(&self.0)
            .output()
            .expect("xtask can be started");
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        // Errors in the arguments go to standard error. They also make the exit code non-zero, but
        // must not count as a finding of a check.
        assert!(output.stderr.is_empty(), "{output:?}");
        (output.status.success(), printed)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
