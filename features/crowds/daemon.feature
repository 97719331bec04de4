Feature: Crowds of clients outside the limits end no process of chivewalkd, and ordinary clients are served afterwards

  Scenario Outline: Bodies in chunks of one byte to chivewalkd that never end, at <listener>
    Given a site of chivewalkd under crowds, with a heap of 200 MB
    When a chivewalkd crowd of 100 clients sends 60000 chunks of one byte without an end to chivewalkd at <listener>
    Then the crowded chivewalkd lives, within 200 MB
    And an ordinary request to chivewalkd is answered there while the crowd stays connected

    Examples:
      | listener               |
      | the callers' address   |
      | the upstreams' address |
      | the platform's address |
      | the operators' address |

  Scenario Outline: Pipelined requests to chivewalkd whose answers are not read, at <listener>
    Given a site of chivewalkd under crowds, with a heap of 200 MB
    When a chivewalkd crowd of 100 clients sends 4000 pipelined requests to chivewalkd without reading answers at <listener>
    Then the crowded chivewalkd lives, within 200 MB
    And an ordinary request to chivewalkd is answered there while the crowd stays connected

    Examples:
      | listener               |
      | the upstreams' address |
      | the platform's address |
      | the operators' address |

  Scenario Outline: Pipelined requests of callers to chivewalkd whose answers are not read end no process, at <listener>
    Given a site of chivewalkd under crowds, with a heap of 200 MB
    When a chivewalkd crowd of 100 clients sends 4000 pipelined requests to chivewalkd without reading answers at <listener>
    Then the crowded chivewalkd lives, within 200 MB

    Examples:
      | listener             |
      | the callers' address |
      | an unknown path      |

  @known-red
  Scenario Outline: Pipelined requests of callers to chivewalkd whose answers are not read keep no caller waiting, at <listener>
    Given a site of chivewalkd under crowds, with a heap of 200 MB
    When a chivewalkd crowd of 100 clients sends 4000 pipelined requests to chivewalkd without reading answers at <listener>
    Then the crowded chivewalkd lives, within 200 MB
    And an ordinary request to chivewalkd is answered there while the crowd stays connected

    Examples:
      | listener             |
      | the callers' address |
      | an unknown path      |

  Scenario Outline: More connections than chivewalkd keeps open, at <listener>
    Given a site of chivewalkd under crowds that keeps at most 100 connections
    When a chivewalkd crowd of 400 clients connects and sends half a request to chivewalkd at <listener>
    Then the crowded chivewalkd has at most 180 open descriptors
    And an ordinary request to chivewalkd is answered there while the crowd stays connected

    Examples:
      | listener               |
      | the callers' address   |
      | the upstreams' address |
      | the platform's address |
      | the operators' address |
