//! A folder of files for one run of the program.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A folder with files, removed at the end of its test.
pub(crate) struct Folder(PathBuf);

impl Folder {
    /// Writes files, each with its path and its text.
    pub(crate) fn new(files: &[(&str, &str)]) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let name = format!("files-{}-{number}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        for (file, text) in files {
            let path = folder.join(file);
            fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
            fs::write(path, text).expect("a file");
        }
        Folder(folder)
    }

    /// Runs the program in the folder. Returns whether it passes, and what it prints.
    pub(crate) fn xtask(&self, arguments: &[&str]) -> (bool, String) {
        let ended = Command::new(env!("CARGO_BIN_EXE_xtask"))
            .args(arguments)
            .current_dir(&self.0)
            .output()
            .expect("it runs");
        let printed = String::from_utf8_lossy(&ended.stdout).into_owned();
        // An error of the arguments, which is written elsewhere, is no finding of a check.
        assert!(ended.stderr.is_empty(), "{ended:?}");
        (ended.status.success(), printed)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
