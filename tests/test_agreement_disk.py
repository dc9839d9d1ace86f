"""Tests of the log on a real data folder."""

from ebonytally import disk_files
from tests import agreement_fakes as fakes


def test_folder_keeps_the_log_over_restarts(tmp_path):
    cluster = fakes.Cluster(("a",))
    folder = disk_files.FolderDisk(str(tmp_path))
    cluster.start("a", disk=folder)
    for number in range(70):
        assert cluster.put(f"t{number}", f"v{number}").is_committed
    folder.close()
    (tmp_path / "vote.new").write_bytes(b"left behind")
    cluster.start("a", disk=disk_files.FolderDisk(str(tmp_path)))
    cluster.elect()
    assert cluster.machines["a"].values == [f"v{n}" for n in range(70)]
    assert not (tmp_path / "vote.new").exists()
