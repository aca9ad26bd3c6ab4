package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EstimatesTest {
  @Test
  void usesTheMeanOfTheLastTwoOfTheSameUserAndElseTheOwnFigure() {
    Estimates e = new Estimates();
    assertThat(e.of("a", 50)).isEqualTo(50);
    e.finished("a", 10);
    assertThat(e.of("a", 50)).isEqualTo(50);
    e.finished("a", 20);
    assertThat(e.of("a", 50)).isEqualTo(15);
    e.finished("a", 40);
    assertThat(e.of("a", 50)).isEqualTo(30);
    assertThat(e.of("b", 50)).isEqualTo(50);
  }

  @ParameterizedTest
  @CsvSource({"10,5,10", "10,10,10", "10,11,20", "10,35,40", "10,41,80", "0,3,4"})
  void doublesAnEstimateThatATaskOutlives(double estimate, double elapsed, double corrected) {
    assertThat(Estimates.corrected(estimate, elapsed)).isEqualTo(corrected);
  }
}
