package dev.windbend;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.util.Set;

/** Which package may depend on which, and where wire names may stand. */
@AnalyzeClasses(packages = "dev.windbend", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /** Types with wire names that are not in a message or record file yet; only gets shorter. */
  private static final Set<String> WIRE_NAMES_PENDING =
      Set.of("Cancellations", "JobSpec", "Urgency", "ZoneState", "ZoneStatus");

  private static final DescribedPredicate<JavaClass> MESSAGE_OR_RECORD_FILE =
      describe(
          "in a message or record file",
          type -> {
            JavaClass outer = type;
            while (outer.getEnclosingClass().isPresent()) {
              outer = outer.getEnclosingClass().get();
            }
            String name = outer.getSimpleName();
            return name.endsWith("Messages")
                || name.endsWith("Record")
                || name.equals("Json")
                || WIRE_NAMES_PENDING.contains(name);
          });

  @ArchTest
  static final ArchRule WIRE_NAMES_STAND_IN_MESSAGES_AND_RECORDS_ONLY =
      noClasses()
          .that(DescribedPredicate.not(MESSAGE_OR_RECORD_FILE))
          .should()
          .dependOnClassesThat()
          .resideInAPackage("com.fasterxml.jackson.annotation..");

  @ArchTest
  static final ArchRule PACKAGES_ARE_FREE_OF_CYCLES =
      slices().matching("dev.windbend.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule PLANNER_IS_PURE =
      noClasses()
          .that()
          .resideInAPackage("dev.windbend.plan..")
          .should()
          .dependOnClassesThat(
              describe(
                  "outside java.lang, java.util, fastutil and the planner",
                  type -> {
                    String name = type.getBaseComponentType().getPackageName();
                    return !type.getBaseComponentType().isPrimitive()
                        && !name.startsWith("dev.windbend.plan")
                        && !name.startsWith("java.lang")
                        && !name.startsWith("java.util")
                        && !name.startsWith("it.unimi.dsi.fastutil");
                  }));

  @ArchTest
  static final ArchRule NOBODY_DEPENDS_ON_THE_DAEMON =
      noClasses()
          .that()
          .resideOutsideOfPackage("dev.windbend.daemon..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("dev.windbend.daemon..");

  @ArchTest
  static final ArchRule THE_RUNTIME_DEPENDS_ON_NO_OTHER_PACKAGE =
      noClasses()
          .that()
          .resideInAPackage("dev.windbend.runtime..")
          .should()
          .dependOnClassesThat(
              describe(
                  "in other packages of windbend",
                  type ->
                      type.getPackageName().startsWith("dev.windbend")
                          && !type.getPackageName().startsWith("dev.windbend.runtime")));
}
