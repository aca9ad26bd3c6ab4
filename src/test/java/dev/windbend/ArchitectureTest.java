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
import dev.windbend.worker.TaskReconciler;
import dev.windbend.worker.WorkerMessages;
import java.util.Set;

/** Checks the dependencies between packages and which types may use Jackson annotations. */
@AnalyzeClasses(packages = "dev.windbend", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /**
   * Types outside of message and record files that still use Jackson annotations. Types may be
   * removed from the set, but not added.
   */
  private static final Set<String> JSON_ANNOTATION_EXCEPTIONS =
      Set.of("Cancellations", "JobSpec", "Urgency", "ZoneState", "ZoneStatus");

  private static final DescribedPredicate<JavaClass> MAY_USE_JSON_ANNOTATIONS =
      describe(
          "in a *Messages or *Record file, Json or one of JSON_ANNOTATION_EXCEPTIONS",
          type -> {
            JavaClass outer = type;
            while (outer.getEnclosingClass().isPresent()) {
              outer = outer.getEnclosingClass().get();
            }
            String name = outer.getSimpleName();
            return name.endsWith("Messages")
                || name.endsWith("Record")
                || name.equals("Json")
                || JSON_ANNOTATION_EXCEPTIONS.contains(name);
          });

  @ArchTest
  static final ArchRule ONLY_MESSAGES_AND_RECORDS_USE_JSON_ANNOTATIONS =
      noClasses()
          .that(DescribedPredicate.not(MAY_USE_JSON_ANNOTATIONS))
          .should()
          .dependOnClassesThat()
          .resideInAPackage("com.fasterxml.jackson.annotation..");

  @ArchTest
  static final ArchRule PACKAGE_DEPENDENCIES_HAVE_NO_CYCLES =
      slices().matching("dev.windbend.(*)..").should().beFreeOfCycles();

  @ArchTest
  static final ArchRule PLANNER_DEPENDS_ONLY_ON_JAVA_AND_FASTUTIL =
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

  /** A start that left by any other way than a heartbeat response could be executed late. */
  @ArchTest
  static final ArchRule STARTS_ARE_BUILT_ONLY_BY_THE_TASK_RECONCILER =
      noClasses()
          .that()
          .doNotHaveFullyQualifiedName(TaskReconciler.class.getName())
          .should()
          .callMethod(WorkerMessages.Command.class, "start", String.class, long.class);

  @ArchTest
  static final ArchRule STARTS_LEAVE_ONLY_IN_HEARTBEAT_RESPONSES =
      noClasses()
          .that()
          .haveSimpleNameNotEndingWith("HeartbeatResponseBuilder")
          .should()
          .callMethodWhere(
              describe(
                  "TaskReconciler.addStarts",
                  call ->
                      call.getTargetOwner().getSimpleName().equals("TaskReconciler")
                          && call.getTarget().getName().equals("addStarts")));

  @ArchTest
  static final ArchRule NO_OTHER_PACKAGE_DEPENDS_ON_DAEMON =
      noClasses()
          .that()
          .resideOutsideOfPackage("dev.windbend.daemon..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("dev.windbend.daemon..");

  @ArchTest
  static final ArchRule RUNTIME_DEPENDS_ON_NO_OTHER_PACKAGE =
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
