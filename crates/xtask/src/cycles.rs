//! The `cycles` check: no modules below a crate's `src` import one another in a cycle. Each file is
//! one module. Test files are ignored, and so are imports from the crate root and from a module's
//! own descendants.

mod import_graph;
mod imports;
mod module_path;

use crate::read_error::ReadError;
use crate::source_tree::rust_files;
use import_graph::ImportGraph;
use module_path::ModulePath;
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A finding of the `cycles` check.
#[derive(Debug, Error)]
pub(crate) enum CycleProblem {
    /// The folder holds no crate, so it is probably the wrong one.
    #[error("no crate in {}: none of its folders contains src", .0.display())]
    NoCrates(PathBuf),
    /// Modules import one another in a cycle.
    #[error("{}: {cycle}", src.display())]
    Cycle {
        /// The folder of the crate's sources.
        src: PathBuf,
        /// The modules and the imports between them.
        cycle: Cycle,
    },
}

/// A strongly connected component of the import graph: each of its modules can be reached from each
/// other one through imports.
#[derive(Debug)]
pub(crate) struct Cycle {
    /// The number of modules.
    module_count: usize,
    /// The imports between the modules, each as a pair of the importing and the imported module.
    imports: Vec<(ModulePath, ModulePath)>,
}

impl fmt::Display for Cycle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a cycle of {} modules", self.module_count)?;
        for (importer, imported) in &self.imports {
            write!(formatter, "\n  {importer} -> {imported}")?;
        }
        Ok(())
    }
}

/// Returns the import cycles of each crate in a folder.
pub(crate) fn check(crates: &Path) -> Result<Vec<CycleProblem>, ReadError> {
    let folders = source_folders(crates)?;
    if folders.is_empty() {
        return Ok(vec![CycleProblem::NoCrates(crates.to_path_buf())]);
    }
    let mut problems = Vec::new();
    for src in folders {
        let files = rust_files(&src)?;
        let graph = ImportGraph::new(files.iter().filter(|file| !file.is_test_file()));
        let cycles = graph.cycles().into_iter();
        problems.extend(cycles.map(|cycle| CycleProblem::Cycle {
            src: src.clone(),
            cycle,
        }));
    }
    Ok(problems)
}

/// Returns the `src` folder of each crate in a folder, sorted by path.
fn source_folders(crates: &Path) -> Result<Vec<PathBuf>, ReadError> {
    let mut folders = Vec::new();
    for entry in fs::read_dir(crates).map_err(ReadError::at(crates))? {
        let src = entry.map_err(ReadError::at(crates))?.path().join("src");
        if src.is_dir() {
            folders.push(src);
        }
    }
    folders.sort();
    Ok(folders)
}
