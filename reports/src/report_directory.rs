//! Files of a report.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;

use crate::page::page;
use crate::report_error::CreateDirectorySnafu;
use crate::report_error::ReportError;
use crate::report_error::WriteFileSnafu;
use crate::section::Section;

/// Name of the page that shows all plots.
const PAGE_NAME: &str = "index.html";

/// The directory that a report is written to.
#[derive(Debug)]
pub struct ReportDirectory {
    path: PathBuf,
}

impl ReportDirectory {
    /// Makes the directory unless it exists.
    ///
    /// # Errors
    ///
    /// Returns why it could not be made; so does a file in its place.
    pub fn create(path: &Path) -> Result<Self, ReportError> {
        fs::create_dir_all(path).context(CreateDirectorySnafu { path })?;
        Ok(Self {
            path: path.to_owned(),
        })
    }

    /// Writes the plots of one section.
    ///
    /// # Errors
    ///
    /// Returns which file could not be written and why.
    pub fn write_plots(&self, section: &Section) -> Result<(), ReportError> {
        let mut plots = section.plots.iter();
        plots.try_for_each(|plot| self.write(&plot.file_name, &plot.svg))
    }

    /// Writes the page that shows all sections, and returns its path.
    ///
    /// # Errors
    ///
    /// Returns why it could not be written.
    pub fn write_page(&self, sections: &[Section]) -> Result<PathBuf, ReportError> {
        self.write(PAGE_NAME, &page(sections))?;
        Ok(self.path.join(PAGE_NAME))
    }

    fn write(&self, name: &str, text: &str) -> Result<(), ReportError> {
        let path = self.path.join(name);
        fs::write(&path, text).context(WriteFileSnafu { path })
    }
}
