"""Check the sample documents of both deployments."""

from pathlib import Path

import testtools

from teaselpond_model.configuration import ServiceContract, check_document, read_toml
from teaselpond_model.configuration.writing import document_to_tables

SAMPLES = Path(__file__).parents[4] / "samples"


class SampleTests(testtools.TestCase):
    """Check that each sample parses and passes all checks."""

    def test_samples_are_valid_and_have_the_expected_size(self) -> None:
        """Check the samples' zones, engines, service hosts and workspaces."""
        for name, zones, engines, service_hosts in (
            ("bergschuh", 4, 10, 4),
            ("collective", 3, 6, 3),
        ):
            file = SAMPLES / f"{name}.toml"
            document = read_toml(file.read_text(), str(file)).document
            check_document(document)
            pools = document.pools_by_id.values()
            services = document.services_by_id.values()
            hosts = {host for service in services for host in service.hosts}
            self.assertEqual(zones, len(document.zones_by_id))
            self.assertEqual(engines, sum(len(pool.hosts) for pool in pools))
            self.assertEqual(service_hosts, len(hosts))
            self.assertEqual(10, len(document.workspaces_by_id))
            contracts = {service.contract for service in services}
            self.assertEqual(set(ServiceContract), contracts)
            tables = document_to_tables(document, 3)
            self.assertEqual(3, tables["version"])
            self.assertEqual(sorted(document.zones_by_id), list(tables["zones"]))
