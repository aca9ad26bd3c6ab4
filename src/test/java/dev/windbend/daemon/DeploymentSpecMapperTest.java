package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.shard.DeploymentSpec;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class DeploymentSpecMapperTest {
  private static final OptionalDouble ABSENT = OptionalDouble.empty();

  private static Settings.Objective objective(
      String kind, String jobKind, OptionalDouble withinSeconds, OptionalDouble deadlineFactor) {
    return new Settings.Objective(kind, jobKind, withinSeconds, deadlineFactor);
  }

  private static DeploymentSpec map(double maxListLagSeconds, Settings.Objective... objectives) {
    Settings.Deployment deployment =
        new Settings.Deployment(
            3,
            List.of("a"),
            List.of(new Settings.Team("team", 1, 2, 3, 4)),
            List.of(objectives),
            new Settings.Workers(5, 6, 7),
            new Settings.StateService(8, 9, 1.5, 10),
            new Settings.Cloud(11, maxListLagSeconds));
    return DeploymentSpecMapper.map(deployment, 4);
  }

  @Test
  void mapsTeamQuotasAndServiceLimits() {
    DeploymentSpec spec = map(12);
    assertThat(spec.teams()).containsExactly(new DeploymentSpec.TeamQuota("team", 1, 2, 3, 4));
    assertThat(spec)
        .isEqualTo(
            new DeploymentSpec(
                spec.teams(),
                4,
                new DeploymentSpec.WorkerTiming(5, 6),
                new DeploymentSpec.CloudLimits(12, 11),
                new DeploymentSpec.StoreLimits(1536, 9),
                spec.objectives()));
    assertThat(map(0.5)).extracting("cloud").isEqualTo(new DeploymentSpec.CloudLimits(1, 11));
  }

  @Test
  void mapsObjectivesByKind() {
    DeploymentSpec.ServiceObjectives objectives =
        map(
                1,
                objective("finished", "train", OptionalDouble.of(30), ABSENT),
                objective("finished", "train", OptionalDouble.of(10), ABSENT),
                objective("deadline", "train", ABSENT, OptionalDouble.of(2)),
                objective("deadline", "train", ABSENT, OptionalDouble.of(1)),
                objective("wait", "train", OptionalDouble.of(5), ABSENT),
                objective("wait", "train", OptionalDouble.of(7), ABSENT),
                objective("wait", "train", OptionalDouble.of(6), ABSENT),
                objective("guarantee", null, OptionalDouble.of(8), ABSENT))
            .objectives();
    assertThat(objectives.finishWithinSeconds().get("train")).containsExactly(10, 30);
    assertThat(objectives.deadlineFactors().get("train")).containsExactly(1, 2);
    assertThat(objectives.startWithinSeconds()).containsOnlyKeys("train").containsValue(7.0);
    assertThat(objectives.guaranteedStartSeconds()).isEqualTo(8);
  }

  @Test
  void ignoresObjectivesWithMissingFieldsOrUnknownKind() {
    DeploymentSpec.ServiceObjectives objectives =
        map(
                1,
                objective("finished", "train", ABSENT, OptionalDouble.of(1)),
                objective("finished", null, OptionalDouble.of(1), ABSENT),
                objective("deadline", "train", OptionalDouble.of(1), ABSENT),
                objective("wait", null, OptionalDouble.of(1), ABSENT),
                objective("guarantee", "train", ABSENT, OptionalDouble.of(1)),
                objective("other", "train", OptionalDouble.of(1), OptionalDouble.of(1)),
                objective(null, null, ABSENT, ABSENT))
            .objectives();
    assertThat(objectives.finishWithinSeconds()).isEmpty();
    assertThat(objectives.deadlineFactors()).isEmpty();
    assertThat(objectives.startWithinSeconds()).isEmpty();
    assertThat(objectives.guaranteedStartSeconds()).isZero();
  }
}
