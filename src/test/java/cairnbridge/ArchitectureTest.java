package cairnbridge;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Checks the dependencies between packages that docs/architecture.md describes. */
class ArchitectureTest {
    private static final String ROOT = "cairnbridge.";

    /** The layers, lowest first. A package may depend on its own layer and on lower ones. */
    private static final List<List<String>> LAYERS =
            List.of(
                    List.of("hash", "time", "cbor", "simulation"),
                    List.of("decision", "store", "fleet.member"),
                    List.of("fleet.membership"),
                    List.of("fleet.transport", "fleet.coordination", "propagation"),
                    List.of("zones.plan"),
                    List.of("zones.routing", "zones.consensus", "recovery"),
                    List.of("zones"),
                    List.of("config"),
                    List.of("fleet", "admin"),
                    List.of("proxy", "adapter"),
                    List.of("propagation.simulated", "drill.link", "drill.standin"),
                    List.of("drill.scenario", "drill.simulated"),
                    List.of("drill.rig", "lab.policy", "scale"),
                    List.of("lab.model"),
                    List.of("lab.run"),
                    List.of("lab.experiment", "lab.hunt"),
                    List.of("lab.report"),
                    List.of("scale.control", "scale.datapath", "scale.router", "scale.upkeep"),
                    List.of("cli"));

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("cairnbridge");

    @Test
    void everyPackageIsAssignedToALayer() {
        TreeSet<String> found = new TreeSet<>();
        CLASSES.forEach(type -> found.add(packageOf(type)));

        TreeSet<String> listed = new TreeSet<>();
        LAYERS.forEach(listed::addAll);

        assertEquals(listed, found);
    }

    @Test
    void noPackageDependsOnAHigherLayer() {
        Map<String, Integer> layers = new HashMap<>();
        for (int layer = 0; layer < LAYERS.size(); layer++) {
            for (String name : LAYERS.get(layer)) {
                layers.put(name, layer);
            }
        }

        TreeSet<String> violations = new TreeSet<>();
        for (JavaClass dependent : CLASSES) {
            for (JavaClass used : dependenciesOf(dependent)) {
                if (layers.get(packageOf(used)) > layers.get(packageOf(dependent))) {
                    violations.add(dependent.getName() + " uses " + used.getName());
                }
            }
        }

        assertTrue(violations.isEmpty(), () -> String.join("\n", violations));
    }

    private static List<JavaClass> dependenciesOf(JavaClass dependent) {
        return dependent.getDirectDependenciesFromSelf().stream()
                .map(dependency -> dependency.getTargetClass().getBaseComponentType())
                .filter(used -> used.getPackageName().startsWith(ROOT))
                .toList();
    }

    private static String packageOf(JavaClass type) {
        return type.getPackageName().substring(ROOT.length());
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching(ROOT + "(**)").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void decisionPackagesDoNotUseIoOrThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        ROOT + "decision",
                        ROOT + "fleet.membership",
                        ROOT + "fleet.coordination",
                        ROOT + "zones.plan",
                        ROOT + "zones.routing",
                        ROOT + "propagation",
                        ROOT + "hash")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio..", "org.apache.hc..", "sun..")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.io\\.(File|InputStream|OutputStream|Reader|Writer).*")
                .orShould()
                .dependOnClassesThat()
                .haveNameMatching("java\\.lang\\.(Thread|Process|ProcessBuilder)")
                .check(CLASSES);
    }
}
